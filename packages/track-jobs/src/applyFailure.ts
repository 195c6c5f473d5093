import { JobState } from "@sardinestage/describe-work";
import type { Job } from "./job.js";

/**
 * Fails a job, unless the job is already finished.
 *
 * @returns Whether the job was failed by this call.
 */
export function applyFailure(job: Job, wallNowMs: number): boolean {
    if (job.isFinished) {
        return false;
    }
    job.state = JobState.Failed;
    job.finishedAtMs = wallNowMs;
    return true;
}
