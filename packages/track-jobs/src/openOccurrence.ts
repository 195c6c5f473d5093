import type { Job } from "./job.js";
import { Occurrence } from "./occurrence.js";

/** Opens one occurrence of a job, unless it is open, done, or none of the job's. */
export function openOccurrence(job: Job, number: number): void {
    const isOne = number >= 0 && number < job.occurrenceCount;
    if (isOne && !job.isFinished && !job.open.has(number) && !job.doneOccurrences.has(number)) {
        job.open.set(number, new Occurrence(job, number, job.getDueTime(number)));
        job.noteTouched();
    }
}
