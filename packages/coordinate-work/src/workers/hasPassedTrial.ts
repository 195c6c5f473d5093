import { isTrialRun } from "./isTrialRun.js";
import { isWorking } from "./isWorking.js";
import type { TrackedWorker } from "./trackedWorker.js";

/**
 * A long-running run that works for so long shows that its worker is sound, in milliseconds. With a long poll before and
 * one after it, this is less than long-running tasks may be without a run.
 */
const SOUND_AFTER_MS = 1000;

/**
 * Whether a worker has passed its trial by a run that is still active. Only a long-running run counts, which never ends
 * as done, so that no end would tell; others may still fail.
 */
export function hasPassedTrial(worker: TrackedWorker, nowMs: number): boolean {
    return worker.isOnTrial
        && [...worker.tasks].some(task =>
            task.step.spec.longRunning && isTrialRun(task, worker) && isWorking(task, SOUND_AFTER_MS, nowMs)
        );
}
