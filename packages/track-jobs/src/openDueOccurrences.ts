import type { Job } from "./job.js";
import { openOccurrence } from "./openOccurrence.js";

/**
 * Opens the occurrences of a job that have become due.
 *
 * @param job The job.
 * @param wallNowMs Time of day in Unix milliseconds.
 * @returns When the next one is due, in Unix milliseconds; undefined when none is left.
 */
export function openDueOccurrences(job: Job, wallNowMs: number): number | undefined {
    if (job.isFinished) {
        return undefined;
    }
    for (let number = 0; number < job.occurrenceCount; number++) {
        if (job.doneOccurrences.has(number) || job.open.has(number)) {
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
