import type { RunningRow } from "@sardinestage/describe-ports";
import type { Task } from "@sardinestage/track-jobs";

/** Where what a worker lists differs from what was believed of it. */
export interface RunDifference {
    /** Runs that weren't believed to be there, to be taken as their task's newest run. */
    readonly adopted: readonly { readonly task: Task; readonly row: RunningRow }[];
    /** Runs that nobody needs. */
    readonly strays: readonly RunningRow[];
    /** Tasks whose run is certainly not there and left no end. */
    readonly lost: readonly Task[];
    /** Tasks whose start got no answer and isn't listed: it may be carried out late, so it has to be made void. */
    readonly uncertain: readonly Task[];
    /** Believed and listed. */
    readonly matched: readonly { readonly task: Task; readonly row: RunningRow }[];
}
