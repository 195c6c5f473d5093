import { WorkerState } from "@sardinestage/describe-work";
import { limits } from "./limits.js";
import type { TrackedWorker } from "./trackedWorker.js";

/** Starts that a healthy worker may get in one round. */
const HEALTHY_STARTS = 1000;

/**
 * Computes how many starts a worker may get now: none while it can't be used, has stray runs or is on probation, one at a time while it
 * is on trial after a probation, else as many as fit.
 */
export function computeStartsLeft(worker: TrackedWorker, nowMs: number): number {
    const isUsable = worker.isLifeReported && worker.strayRuns.size === 0 && !worker.isUnlisted
        && worker.entry.state === WorkerState.Ready
        && worker.missedRenewals === 0;
    if (!isUsable || nowMs < worker.blockedUntilMs || nowMs - worker.answeredAtMs > limits.workerSilenceMs) {
        return 0;
    }
    if (nowMs < worker.probationUntilMs) {
        return 0;
    }
    return worker.isOnTrial ? Math.max(0, 1 - worker.tasks.size) : HEALTHY_STARTS;
}
