export type { CapacityForecast } from "./capacityForecast.js";
export type { ExpectedEnd } from "./expectedEnd.js";
export { findStartTime } from "./findStartTime.js";
export { isFitting } from "./isFitting.js";
export type { PlannedReservation } from "./plannedReservation.js";
export { planReservations } from "./planReservations.js";
export type { Reservation } from "./reservation.js";
export type { ReservationRequest } from "./reservationRequest.js";
export type { Resources } from "./resources.js";
