import type { Task } from "@sardinestage/track-jobs";

/** A task that may give way. */
export interface Victim {
    readonly task: Task;
    readonly priority: number;
    /** Work that is lost when it's stopped. */
    readonly cost: number;
}
