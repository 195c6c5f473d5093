import type { WorkerLink } from "./workerLink.js";

/** Consecutive failed runs after which a worker is put on probation. */
const DOUBT_AFTER_FAILURES = 3;
/** Number of jobs to which these runs have to belong, since the runs of a broken job fail on any worker. */
const DOUBT_AFTER_JOBS = 2;
/** Length of a worker's first probation, in milliseconds; it doubles each time. */
const FIRST_PROBATION_MS = 1000;
const MAX_PROBATION_MS = 8000;

/**
 * Notes a failed run. A worker on which runs of several jobs fail in a row is put on probation: it gets no work for a
 * while, then one task at a time until a run succeeds.
 *
 * @returns Whether this put the worker on probation.
 */
export function noteFailedRun(link: WorkerLink, jobId: string, nowMs: number): boolean {
    link.failStreak++;
    link.failedJobs.add(jobId);
    const isDoubted = link.isOnTrial
        || (link.failStreak >= DOUBT_AFTER_FAILURES && link.failedJobs.size >= DOUBT_AFTER_JOBS);
    if (!isDoubted || nowMs < link.probationUntilMs) {
        return false;
    }
    const lengthMs = Math.min(MAX_PROBATION_MS, FIRST_PROBATION_MS * 2 ** Math.min(link.probations, 10));
    link.probations++;
    link.probationUntilMs = nowMs + lengthMs;
    link.isOnTrial = true;
    return true;
}
