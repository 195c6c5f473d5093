import type { ActiveRun } from "@sardinestage/describe-ports";
import type { Task } from "@sardinestage/track-jobs";

/** The difference between the runs that a worker reports and the runs that are expected there. */
export interface RunDifference {
    /** Unexpected runs that have to be adopted as the newest run of their task. */
    readonly adopted: readonly { readonly task: Task; readonly row: ActiveRun }[];
    /** Unexpected runs that no task needs, to be stopped. */
    readonly unneeded: readonly ActiveRun[];
    /** Tasks whose run is certainly not active and left no end. */
    readonly lost: readonly Task[];
    /**
     * Tasks whose start got no answer and isn't reported. The order may be executed late, so the run has to be stopped.
     */
    readonly uncertain: readonly Task[];
    /** Runs that are both expected and reported. */
    readonly matched: readonly { readonly task: Task; readonly row: ActiveRun }[];
}
