import type { JobState } from "@sardinestage/describe-work";
import { applyTaskRow } from "./applyTaskRow.js";
import type { Job } from "./job.js";
import { recordEncoder } from "./recordEncoder.js";
import type { TaskRow } from "./taskRow.js";

type StepRow = [number, number[], TaskRow[]];
type ProgressRow = [JobState, number, number[], [number, StepRow[]][], number[]?];

/**
 * Restores the progress of a job from a record written by `encodeProgress`. Earlier versions wrote one record for every
 * job, whatever its size; such a record of a partitioned job counts as changed, so that it is written anew in parts.
 *
 * @param job The job, without open occurrences.
 * @param bytes The record.
 * @throws If the bytes aren't such a record, or the job has no such step or task.
 */
export function applyProgress(job: Job, bytes: Uint8Array): void {
    const [state, finishedAtMs, done, open, doneBounds] = recordEncoder.decode(bytes) as ProgressRow;
    job.state = state;
    job.finishedAtMs = finishedAtMs;
    job.restoreDone(done, doneBounds ?? []);
    for (const [number, steps] of open) {
        const occurrence = job.addOccurrence(number);
        for (const [step, gangFailedRuns, rows] of steps) {
            const restored = occurrence.getStep(step);
            gangFailedRuns.forEach(run => restored.addGangFailedRun(run));
            rows.forEach(row => applyTaskRow(restored, row));
        }
    }
    if (doneBounds !== undefined) {
        job.changes.noteStateLoaded();
    }
}
