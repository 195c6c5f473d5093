import type { Task } from "@sardinestage/track-jobs";
import type { TrackedWorker } from "./trackedWorker.js";

/**
 * Whether a task's run was started on a worker that is on trial, after its probation. Earlier runs prove nothing, nor do
 * those of tasks that fail everywhere.
 */
export function isTrialRun(task: Task, worker: TrackedWorker): boolean {
    return worker.isOnTrial && task.orderedAtMs >= worker.probationUntilMs && !task.failsEverywhere;
}
