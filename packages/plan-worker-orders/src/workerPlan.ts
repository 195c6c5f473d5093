import type { AttemptRef, NewLogRecord } from "@sardinestage/call-platform";
import type { WorkerOrder } from "./workerOrder.js";

/** The next actions of a holder for one worker. */
export interface WorkerPlan {
    readonly orders: readonly WorkerOrder[];
    /** Records to append. Their ids are derived from their content, so planning them again adds nothing. */
    readonly records: readonly NewLogRecord[];
    /** Ended attempts whose result is in the log, so that the worker may forget them. */
    readonly acknowledged: readonly AttemptRef[];
    /**
     * Whether records or acknowledgements wait until the worker refuses this token, because a start under it may still
     * be carried out.
     */
    readonly needsNewToken: boolean;
}
