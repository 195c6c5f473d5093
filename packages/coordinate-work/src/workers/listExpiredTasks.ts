import type { Task } from "@sardinestage/track-jobs";
import type { TrackedWorker } from "./trackedWorker.js";

/**
 * How long after its lease's expiry a listed worker may still report run ends, in milliseconds; after that it is lost.
 */
const UNREPORTED_ENDS_WAIT_MS = 6000;

/**
 * Lists the tasks on a silent worker whose runs count as lost. All runs that were active when the worker's lease
 * expired have been stopped. But while the platform lists the worker, a run may have succeeded before the expiry with
 * its end still unreported; such a task isn't started again until the worker has had time to report. Long-running tasks
 * never succeed on their own, so they are listed at once.
 */
export function listExpiredTasks(worker: TrackedWorker, nowMs: number): readonly Task[] {
    const isAnswering = worker.hasReported && worker.missedRenewals === 0;
    const overdueMs = nowMs - worker.getLeaseExpiry();
    if (isAnswering || overdueMs <= 0) {
        return [];
    }
    const mayReportEnds = !worker.isUnlisted && overdueMs <= UNREPORTED_ENDS_WAIT_MS;
    return [...worker.tasks].filter(task => !mayReportEnds || task.step.spec.longRunning);
}
