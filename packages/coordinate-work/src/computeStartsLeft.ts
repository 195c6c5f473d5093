import { WorkerState } from "@sardinestage/describe-work";
import { limits } from "./limits.js";
import type { TrackedWorker } from "./trackedWorker.js";

/** Starts that a sound worker may get in one round. */
const FULL = 1000;

/** How many starts a worker may get now: none, one to prove itself, or as many as fit. */
export function computeStartsLeft(link: TrackedWorker, nowMs: number): number {
    const isUsable = link.hasReported && !link.isUnlisted && link.entry.state === WorkerState.Ready
        && link.missedRenewals === 0;
    if (!isUsable || nowMs < link.blockedUntilMs || nowMs - link.answeredAtMs > limits.workerSilenceMs) {
        return 0;
    }
    if (nowMs < link.probationUntilMs) {
        return 0;
    }
    return link.isOnTrial ? Math.max(0, 1 - link.tasks.size) : FULL;
}
