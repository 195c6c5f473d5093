import type { WorkerLink } from "./workerLink.js";

/** Failed runs in a row, of several jobs, after which a worker is doubted. */
const DOUBT_AFTER_FAILURES = 3;
/** Jobs that these have to belong to: one hopeless job fails anywhere. */
const DOUBT_AFTER_JOBS = 2;
/** The first time without work, in milliseconds; it doubles. */
const FIRST_PROBATION_MS = 1000;
const MAX_PROBATION_MS = 8000;

/**
 * Notes a failed run; a worker that fails the work of several jobs in a row gets none for a while, then one task at a
 * time until one ends well.
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
