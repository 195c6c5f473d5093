import type { Task } from "@sardinestage/track-jobs";
import type { WorkerLink } from "./workerLink.js";

/** How long after its lease a listed worker may still tell how its runs ended, in milliseconds; then it is taken for lost. */
const UNHEARD_ENDS_MS = 6000;

/**
 * Lists the tasks whose runs on a silent worker are given up. Whatever was at work there when its lease ran out is over.
 * But a worker that the platform lists lives, so that a task that ends may have ended well before that, unheard; it isn't
 * started again as long as the worker may tell. Tasks that stay never end well, and aren't kept waiting.
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
