import type { PaceState } from "./paceState.js";

/** The result of a pacing decision for the best-effort tasks on a worker. */
export interface PacePlan<Key> {
    readonly state: PaceState;
    /** New pace by task key, in percent of full speed. */
    readonly percents: ReadonlyMap<Key, number>;
    /** Whether best-effort tasks that aren't paused must be stopped. */
    readonly mustStop: boolean;
}
