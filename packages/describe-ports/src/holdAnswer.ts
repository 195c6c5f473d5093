import type { EndedRow } from "./endedRow.js";
import type { OrderOutcome } from "./orderOutcome.js";
import type { RunningRow } from "./runningRow.js";

/** A worker's answer to a lease renewal: the runs that are active, and those that have ended. */
export interface HoldAnswer {
    readonly outcome: OrderOutcome;
    /** Reading of the worker's clock when it answered, in milliseconds. */
    readonly clockMs: number;
    /** When this worker instance started, in milliseconds; a restarted worker reports another time. */
    readonly bornMs: number;
    readonly running: readonly RunningRow[];
    readonly ended: readonly EndedRow[];
}
