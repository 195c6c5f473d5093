import type { ActiveRun } from "./activeRun.js";
import type { EndedRun } from "./endedRun.js";
import type { OrderOutcome } from "./orderOutcome.js";

/** A worker's answer to a lease renewal: the runs that are active, and those that have ended. */
export interface LeaseReport {
    readonly outcome: OrderOutcome;
    /** Reading of the worker's clock when it answered, in milliseconds. */
    readonly clockMs: number;
    /** When this worker instance started, in milliseconds; a restarted worker reports another time. */
    readonly bornMs: number;
    readonly running: readonly ActiveRun[];
    readonly ended: readonly EndedRun[];
}
