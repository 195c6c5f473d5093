import type { ExpectedEnd } from "@sardinestage/plan-capacity";
import type { HeldReservation } from "./heldReservation.js";

/** What is expected of a worker's capacity after now. */
export interface CapacityAhead {
    /** Expected ends of the tasks on the worker, in steady milliseconds; computed when first read, as few rounds need it. */
    readonly ends: readonly ExpectedEnd[];
    /** Expected ends of the tasks that this round plans there. */
    readonly plannedEnds: ExpectedEnd[];
    /** The reservations on the worker in this round. */
    reservations: readonly HeldReservation[];
}
