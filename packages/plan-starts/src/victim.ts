import type { Task } from "@sardinestage/track-jobs";

/** A task that may be preempted. */
export interface Victim {
    readonly task: Task;
    /** Priority of the task's queue; a lower number is more urgent. */
    readonly priority: number;
    /** Relative cost of the work that is lost when the task is stopped. */
    readonly cost: number;
}
