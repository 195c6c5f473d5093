import type { PaceState } from "./paceState.js";

/** The pace of the filling tasks on a worker. */
export interface PacePlan<Key> {
    readonly state: PaceState;
    /** By the tasks' keys, in percent. */
    readonly percents: ReadonlyMap<Key, number>;
    /** Whether filling tasks that still work have to leave the worker. */
    readonly mustStop: boolean;
}
