import type { Job } from "./job.js";
import { openOccurrence } from "./openOccurrence.js";

/**
 * Opens all occurrences of a job that are due.
 *
 * @param job The job.
 * @param wallNowMs Current wall-clock time in Unix milliseconds.
 * @returns When the next occurrence is due, in Unix milliseconds; undefined if none is left.
 */
export function openDueOccurrences(job: Job, wallNowMs: number): number | undefined {
    if (job.isFinished) {
        return undefined;
    }
    for (let number = 0; number < job.occurrenceCount; number++) {
        if (job.doneOccurrences.has(number) || job.openOccurrences.has(number)) {
            continue;
        }
        const dueMs = job.getDueTime(number);
        if (dueMs > wallNowMs) {
            return dueMs;
        }
        openOccurrence(job, number);
    }
    return undefined;
}
