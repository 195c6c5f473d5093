import type { Task } from "@sardinestage/track-jobs";

/** Whether the next failed run of a task fails its job. A gang's runs fail as a whole. */
export function hasOneAttemptLeft(task: Task): boolean {
    const { spec, gangFailedRuns, occurrence: { job } } = task.step;
    const failures = spec.gang ? gangFailedRuns.size : task.failedRuns.size;
    return !spec.longRunning && failures >= job.queue.maxAttempts - 1;
}
