import { JobState } from "@sardinestage/describe-work";
import type { Job } from "./job.js";

/**
 * Cancels a job, unless the job is already finished.
 *
 * @returns Whether the job was cancelled by this call.
 */
export function applyCancel(job: Job, wallNowMs: number): boolean {
    if (job.isFinished) {
        return false;
    }
    job.state = JobState.Cancelled;
    job.finishedAtMs = wallNowMs;
    return true;
}
