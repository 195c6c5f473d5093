import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";

/** A run that should have ended is expected to run on for this share of the time that it has run. */
const OVERRUN_SHARE = 0.25;
/** A run that is being stopped is expected to end after this, in milliseconds: a stop takes up to 900 ms. */
const STOP_MS = 1000;

/**
 * Estimates when the run of a task ends, in steady milliseconds. Estimates may be wrong by a factor, so the end of an
 * overdue run moves on with the time it has run.
 *
 * @param expectedMs Expected duration of the task, in milliseconds.
 * @param nowMs Steady milliseconds.
 * @returns Infinity for a long-running task that isn't being stopped.
 */
export function estimateRunEnd(task: Task, expectedMs: number, nowMs: number): number {
    if (task.phase === TaskPhase.Stopping) {
        return nowMs + STOP_MS;
    }
    if (task.step.spec.longRunning) {
        return Infinity;
    }
    const startedAtMs = task.firstSeenAtMs > 0 ? task.firstSeenAtMs : task.orderedAtMs;
    return Math.max(startedAtMs + expectedMs, nowMs + (nowMs - startedAtMs) * OVERRUN_SHARE);
}
