import type { Task } from "@sardinestage/track-jobs";
import type { WorkerLink } from "./workerLink.js";

/**
 * How long after its lease's expiry a listed worker may still report run ends, in milliseconds; after that it is lost.
 */
const UNHEARD_ENDS_MS = 6000;

/**
 * Lists the tasks on a silent worker whose runs count as lost. All runs that were active when the worker's lease
 * expired have been stopped. But while the platform lists the worker, a run may have succeeded before the expiry with
 * its end still unreported; such a task isn't started again until the worker has had time to report. Long-running tasks
 * never succeed on their own, so they are listed at once.
 */
export function listLapsed(link: WorkerLink, nowMs: number): readonly Task[] {
    const isAnswering = link.isHeld && link.missedHolds === 0;
    const overdueMs = nowMs - link.getLapseTime();
    if (isAnswering || overdueMs <= 0) {
        return [];
    }
    const mayTellEnds = !link.isGone && overdueMs <= UNHEARD_ENDS_MS;
    return [...link.tasks].filter(task => !mayTellEnds || task.step.spec.longRunning);
}
