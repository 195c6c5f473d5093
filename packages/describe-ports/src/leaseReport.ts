import type { ActiveRun } from "./activeRun.js";
import type { EndedRun } from "./endedRun.js";
import type { OrderOutcome } from "./orderOutcome.js";

/**
 * A worker's answer to a lease renewal: the runs that are active, and those that have ended.
 *
 * If the outcome isn't `Accepted`, only `ended` tells something, unless it is empty: ends that the life `bornMs` has told
 * before it got the renewal.
 */
export interface LeaseReport {
    readonly outcome: OrderOutcome;
    /** Reading of the worker's clock when it answered, in milliseconds. */
    readonly clockMs: number;
    /** When this worker instance started, in milliseconds; a restarted worker reports another time. */
    readonly bornMs: number;
    readonly running: readonly ActiveRun[];
    readonly ended: readonly EndedRun[];
}
