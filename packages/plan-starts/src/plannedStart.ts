import type { Task } from "@sardinestage/track-jobs";

/** A start that was decided. */
export interface PlannedStart {
    readonly task: Task;
    readonly workerId: string;
}
