import type { EndedRow } from "./endedRow.js";
import type { OrderOutcome } from "./orderOutcome.js";
import type { RunningRow } from "./runningRow.js";

/** A worker's answer to a hold. */
export interface HoldAnswer {
    readonly outcome: OrderOutcome;
    /** The worker's clock when it answered, in milliseconds. */
    readonly clockMs: number;
    /** When this life of the worker began. */
    readonly bornMs: number;
    readonly running: readonly RunningRow[];
    readonly ended: readonly EndedRow[];
}
