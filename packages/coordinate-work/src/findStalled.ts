import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";

/** A task that hasn't moved for so long is stalled, in milliseconds, whatever its guess. */
const LEAST_STALL_MS = 1800;
/** Share of its expected duration that a task may stand still. */
const STALL_SHARE = 0.25;
/** A task slower than this by our own order isn't judged, in percent. */
const JUDGED_PACE_PERCENT = 50;

/**
 * Finds tasks that stand still through the worker's fault. A filling task may stand still for want of leftover
 * processor, so it is judged only beside others that stand still too.
 *
 * @param tasks All tasks on the worker.
 * @param nowMs Steady time.
 * @param estimateMs The expected duration of a task.
 */
export function findStalled(tasks: Iterable<Task>, nowMs: number, estimateMs: (task: Task) => number): Task[] {
    const still: Task[] = [];
    for (const task of tasks) {
        if (task.phase !== TaskPhase.Running || task.pace < JUDGED_PACE_PERCENT) {
            continue;
        }
        if (task.step.spec.longRunning && task.percent >= 100) {
            continue;
        }
        const allowedMs = Math.max(LEAST_STALL_MS, estimateMs(task) * STALL_SHARE);
        if (nowMs - task.progressAtMs >= allowedMs && task.seenAtMs > 0) {
            still.push(task);
        }
    }
    return still;
}
