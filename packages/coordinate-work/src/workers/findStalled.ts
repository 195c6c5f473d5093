import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";

/** No task counts as stalled before it has been without progress for this long, in milliseconds. */
const MIN_STALL_MS = 1800;
/** Share of its expected duration that a task may be without progress. */
const STALL_SHARE = 0.25;
/** A task that is throttled below this pace isn't checked, in percent: it is slow by the coordinator's own order. */
const MIN_CHECKED_PACE_PERCENT = 50;

/**
 * Finds running tasks that have made no progress for too long. Best-effort tasks are included, but these may only lack
 * leftover CPU; alone, they don't show that the worker is at fault.
 *
 * @param tasks All tasks on the worker.
 * @param nowMs Steady time in milliseconds.
 * @param estimateMs Estimates the duration of a task in milliseconds.
 */
export function findStalled(tasks: Iterable<Task>, nowMs: number, estimateMs: (task: Task) => number): Task[] {
    const stalled: Task[] = [];
    for (const task of tasks) {
        if (task.phase !== TaskPhase.Running || task.pace < MIN_CHECKED_PACE_PERCENT) {
            continue;
        }
        if (task.step.spec.longRunning && task.percent >= 100) {
            continue;
        }
        const allowedMs = Math.max(MIN_STALL_MS, estimateMs(task) * STALL_SHARE);
        if (nowMs - task.progressAtMs >= allowedMs && task.firstSeenAtMs > 0) {
            stalled.push(task);
        }
    }
    return stalled;
}
