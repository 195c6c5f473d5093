import type { Task } from "@sardinestage/track-jobs";

/**
 * Whether the end of a task's run on a worker on trial would tell whether the worker is sound: not if the task fails
 * everywhere, or if its step has failed there before and hasn't succeeded since, so that it may be the cause.
 */
export function isTelling(task: Task, workerId: string): boolean {
    return !task.failsEverywhere && task.step.failureEvidence?.hasFailedOn(workerId) !== true;
}
