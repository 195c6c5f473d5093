import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";

/** A best-effort task at this pace or below counts as throttled, in percent of full speed. */
const THROTTLED_PERCENT = 20;
/** A best-effort task that is throttled for this long is moved to another worker, in milliseconds. */
const MIN_THROTTLED_MS = 800;
/** A task without checkpoints starts over when it is moved, so it is moved only up to this progress, in percent. */
const CHEAP_PROGRESS_PERCENT = 10;

/** Whether a best-effort task has been throttled for long and may be moved to another worker. */
export function isMovable(task: Task, nowMs: number): boolean {
    const { spec } = task.step;
    return spec.isBestEffort && task.phase === TaskPhase.Running && task.pace <= THROTTLED_PERCENT
        && nowMs - Math.max(task.pacedAtMs, task.firstSeenAtMs) >= MIN_THROTTLED_MS
        && (spec.savesProgress || task.percent <= CHEAP_PROGRESS_PERCENT);
}
