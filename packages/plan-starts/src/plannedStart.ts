import type { Task } from "@sardinestage/track-jobs";

/** A task and the worker that it starts on. */
export interface PlannedStart {
    readonly task: Task;
    readonly workerId: string;
}
