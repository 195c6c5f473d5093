import type { ExpectedEnd } from "./expectedEnd.js";
import type { Reservation } from "./reservation.js";
import type { Resources } from "./resources.js";

/** A worker's capacity from now on. */
export interface CapacityForecast {
    /** What is free now. */
    readonly free: Resources;
    /** What comes free later. */
    readonly ends: readonly ExpectedEnd[];
    readonly reservations: readonly Reservation[];
}
