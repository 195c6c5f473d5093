import type { Task } from "@sardinestage/track-jobs";

/** A failed run on a worker. It counts against the worker unless its task turns out to fail everywhere. */
export interface WorkerFailure {
    readonly task: Task;
    /** In steady milliseconds. */
    readonly atMs: number;
}
