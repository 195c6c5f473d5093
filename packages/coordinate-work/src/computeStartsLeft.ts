import { WorkerState } from "@sardinestage/describe-work";
import { limits } from "./limits.js";
import type { WorkerLink } from "./workerLink.js";

/** Starts that a sound worker may get in one round. */
const HEALTHY_STARTS = 1000;

/** How many starts a worker may get now: none, one to prove itself, or as many as fit. */
export function computeStartsLeft(link: WorkerLink, nowMs: number): number {
    const isUsable = link.isHeld && !link.isGone && link.entry.state === WorkerState.Ready && link.missedHolds === 0;
    if (!isUsable || nowMs < link.blockedUntilMs || nowMs - link.clockAtMs > limits.workerSilenceMs) {
        return 0;
    }
    if (nowMs < link.probationUntilMs) {
        return 0;
    }
    return link.isOnTrial ? Math.max(0, 1 - link.tasks.size) : HEALTHY_STARTS;
}
