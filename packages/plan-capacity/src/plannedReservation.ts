import type { Reservation } from "./reservation.js";

/** A reservation on one of the workers of a plan. */
export interface PlannedReservation extends Reservation {
    /** Index into the workers of the plan. */
    readonly index: number;
}
