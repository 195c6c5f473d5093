import type { TrackedWorker } from "./trackedWorker.js";

/** Consecutive failed runs after which a worker is put on probation. */
const PROBATION_AFTER_FAILURES = 3;
/** The same if any job that fails there has so few attempts that the third failure may be its last. */
const EARLY_PROBATION_AFTER_FAILURES = 2;
/** Number of jobs to which these runs have to belong, since the runs of a broken job fail on any worker. */
const PROBATION_AFTER_JOBS = 2;
/** Length of a worker's first probation, in milliseconds; it doubles each time. */
const FIRST_PROBATION_MS = 1000;
/**
 * Length of a worker's longest probation, in milliseconds. Long-running tasks may be without a run until 7 s after a
 * fault; the rest of this time is for the trial.
 */
const MAX_PROBATION_MS = 4000;

/**
 * Notes a failed run. A worker on which runs of several jobs fail in a row is put on probation: it gets no work for a
 * while, then one task at a time until a run succeeds or a long-running one works for a while.
 *
 * @param isEarly Whether fewer failures suffice, to spare jobs with few attempts.
 * @returns Whether this put the worker on probation.
 */
export function noteFailedRun(worker: TrackedWorker, jobId: string, nowMs: number, isEarly = false): boolean {
    worker.consecutiveFailures++;
    worker.failedJobs.add(jobId);
    worker.recentEnds.noteFailed(nowMs);
    const maxFailures = isEarly ? EARLY_PROBATION_AFTER_FAILURES : PROBATION_AFTER_FAILURES;
    const isSuspect = worker.isOnTrial
        || (worker.consecutiveFailures >= maxFailures && worker.failedJobs.size >= PROBATION_AFTER_JOBS);
    if (!isSuspect || nowMs < worker.probationUntilMs) {
        return false;
    }
    const lengthMs = Math.min(MAX_PROBATION_MS, FIRST_PROBATION_MS * 2 ** Math.min(worker.probationCount, 10));
    worker.probationCount++;
    worker.probationUntilMs = nowMs + lengthMs;
    worker.isOnTrial = true;
    return true;
}
