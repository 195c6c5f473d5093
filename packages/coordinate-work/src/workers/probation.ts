import { isFaultLikely } from "./isFaultLikely.js";
import { isInterchangeable } from "./isInterchangeable.js";
import { ProbationOutcome } from "./probationOutcome.js";
import type { TrackedWorker } from "./trackedWorker.js";

/** Length of a worker's first probation, in milliseconds; it doubles each time. */
const FIRST_PROBATION_MS = 1000;
/**
 * Length of a worker's longest probation, in milliseconds. Long-running tasks may be without a run until 7 s after a
 * fault; the rest of this time is for the trial.
 */
const MAX_PROBATION_MS = 4000;
/** A worker without a probation for so long begins again with the shortest one, in milliseconds. */
const PROBATIONS_KEPT_MS = 30_000;
/** The largest share of interchangeable workers that are on probation or on trial at once, rounded up. */
const MAX_PROBATION_SHARE = 0.5;

/**
 * Puts a worker on probation if its failures say that it is at fault: it gets no work for a while, then one task at a
 * time until a run succeeds or a long-running one works for a while. If very many workers seem to be at fault, the
 * failures rather have a cause that they share, and the others stay in use.
 *
 * @param worker A worker on which a run has failed that counts against it.
 * @param minFailures How many failures say so.
 * @param workers All workers.
 * @param nowMs Steady milliseconds.
 */
export function startProbation(
    worker: TrackedWorker,
    minFailures: number,
    workers: Iterable<TrackedWorker>,
    nowMs: number,
): ProbationOutcome {
    const isSuspect = worker.isOnTrial || isFaultLikely(worker, minFailures);
    if (!isSuspect || nowMs < worker.probationUntilMs) {
        return ProbationOutcome.NotNeeded;
    }
    const peers = [...workers].filter(other =>
        other !== worker && !other.isLeaving && isInterchangeable(other, worker)
    );
    const restrictedCount = peers.filter(({ isOnTrial }) => isOnTrial).length;
    const maxCount = Math.ceil((peers.length + 1) * MAX_PROBATION_SHARE);
    if (!worker.isOnTrial && restrictedCount >= maxCount) {
        return ProbationOutcome.TooMany;
    }
    if (nowMs - worker.probationUntilMs > PROBATIONS_KEPT_MS) {
        worker.probationCount = 0;
    }
    const hasOpenPeer = restrictedCount < peers.length;
    const doublings = hasOpenPeer ? Math.min(worker.probationCount, 10) : 0;
    worker.probationCount++;
    worker.probationFailureCount = minFailures;
    worker.probationUntilMs = nowMs + Math.min(MAX_PROBATION_MS, FIRST_PROBATION_MS * 2 ** doublings);
    worker.isOnTrial = true;
    return ProbationOutcome.Started;
}
