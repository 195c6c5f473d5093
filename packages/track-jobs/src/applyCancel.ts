import { JobState } from "@sardinestage/describe-work";
import type { Job } from "./job.js";

/**
 * Cancels a job that hasn't come to its end.
 *
 * @returns Whether this changed anything.
 */
export function applyCancel(job: Job, wallNowMs: number): boolean {
    if (job.isFinished) {
        return false;
    }
    job.state = JobState.Cancelled;
    job.finishedAtMs = wallNowMs;
    return true;
}
