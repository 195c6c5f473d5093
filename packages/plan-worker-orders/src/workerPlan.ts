import type { AttemptRef, NewLogRecord } from "@sardinestage/call-platform";
import type { WorkerOrder } from "./workerOrder.js";

/** What a holder does next about one worker. */
export interface WorkerPlan {
    readonly orders: readonly WorkerOrder[];
    /** Records with fixed ids: planning them again changes nothing. */
    readonly records: readonly NewLogRecord[];
    /** Ended attempts that the worker may forget. */
    readonly acknowledged: readonly AttemptRef[];
}
