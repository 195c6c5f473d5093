import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";

const FULL_PERCENT = 100;

/** Whether a task's run has worked for a time, in milliseconds, and made progress. */
export function isWorking(task: Task, forMs: number, nowMs: number): boolean {
    const hasProgressed = task.progressAtMs > task.firstSeenAtMs || task.percent >= FULL_PERCENT;
    return task.phase === TaskPhase.Running && hasProgressed && nowMs - task.firstSeenAtMs >= forMs;
}
