import type { ExpectedEnd } from "@sardinestage/plan-capacity";
import type { HeldReservation } from "./heldReservation.js";

/** What is expected of a worker's capacity after now. */
export interface CapacityAhead {
    /** Expected ends of the tasks on the worker, in steady milliseconds; a planning round adds those that it plans. */
    readonly ends: ExpectedEnd[];
    /** The reservations on the worker in this round. */
    reservations: readonly HeldReservation[];
}
