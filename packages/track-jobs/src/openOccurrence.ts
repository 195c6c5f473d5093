import type { Job } from "./job.js";

/** Opens an occurrence of a job. Does nothing if the number is invalid, or the occurrence is already open or done. */
export function openOccurrence(job: Job, number: number): void {
    const isValid = number >= 0 && number < job.occurrenceCount;
    if (isValid && !job.isFinished && !job.openOccurrences.has(number) && !job.doneOccurrences.has(number)) {
        job.addOccurrence(number);
        job.noteChanged();
    }
}
