import { JobState } from "@sardinestage/describe-work";
import { applyTaskRow } from "./applyTaskRow.js";
import type { Job } from "./job.js";
import { openOccurrence } from "./openOccurrence.js";
import type { PartKey } from "./partKey.js";
import { recordEncoder } from "./recordEncoder.js";
import { TaskPhase } from "./taskPhase.js";
import type { TaskRow } from "./taskRow.js";

/**
 * Restores a part of a job's progress from a record written by `encodeProgressPart`. The job's own record has to be
 * applied before; where that one, written by an earlier version, has tasks of the part too, the part is newer. A part of a done occurrence is only noted as obsolete.
 *
 * @throws If the bytes aren't such a record, or the job has no such step or tasks.
 */
export function applyProgressPart(job: Job, key: PartKey, bytes: Uint8Array): void {
    const [doneBounds, rows, gangFailedRuns] = recordEncoder.decode(bytes) as [number[], TaskRow[], number[]];
    if (job.isFinished || job.doneOccurrences.has(key.occurrence)) {
        job.changes.noteObsolete(key);
        return;
    }
    openOccurrence(job, key.occurrence);
    const occurrence = job.openOccurrences.get(key.occurrence);
    const step = occurrence?.hasStep(key.step) === true ? occurrence.getStep(key.step) : undefined;
    if (step === undefined || key.firstIndex >= step.spec.taskCount) {
        throw new RangeError(`The job has no part ${key.format()}.`);
    }
    if (job.state === JobState.Queued) {
        job.state = JobState.Running;
    }
    gangFailedRuns.forEach(run => step.addGangFailedRun(run));
    for (let position = 0; position + 1 < doneBounds.length; position += 2) {
        for (let index = doneBounds[position]; index < doneBounds[position + 1]; index++) {
            step.getTask(index).phase = TaskPhase.Done;
        }
    }
    rows.forEach(row => applyTaskRow(step, row));
    job.changes.noteLoaded(key);
}
