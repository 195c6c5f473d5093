import { encodeTaskRows } from "./encodeTaskRows.js";
import type { Job } from "./job.js";
import { recordEncoder } from "./recordEncoder.js";

/**
 * Encodes the progress of a job, from which a new coordinator restores the job:
 * `[state, finishedAt, done occurrences, open occurrences]`. Leaves out tasks that have never run. The record of a
 * partitioned job has no occurrences but, as a fifth entry, the bounds of the ranges of done ones; its tasks are in
 * other records, see `encodeProgressPart`.
 *
 * @param maxBytes The largest record that the store takes, in bytes.
 */
export function encodeProgress(job: Job, maxBytes = Infinity): Uint8Array {
    if (job.isPartitioned) {
        return recordEncoder.encode([job.state, job.finishedAtMs, [], [], job.doneOccurrences.listBounds()]);
    }
    const done = [...job.doneOccurrences.listNumbers()];
    const occurrences = job.isFinished ? [] : [...job.openOccurrences.values()];
    return encodeTaskRows(convertTasks => {
        const open = occurrences.map(occurrence => [
            occurrence.number,
            [...occurrence.listKnownSteps()].flatMap(step => {
                const rows = convertTasks(step.listKnown());
                return rows.length === 0 ? [] : [[step.number, [...step.gangFailedRuns], rows]];
            }),
        ]);
        return [job.state, job.finishedAtMs, done, open];
    }, maxBytes);
}
