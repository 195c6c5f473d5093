import type { JobState } from "@sardinestage/describe-work";
import type { Job } from "./job.js";
import { Occurrence } from "./occurrence.js";
import { recordEncoder } from "./recordEncoder.js";
import type { StepRun } from "./stepRun.js";
import type { TaskPhase } from "./taskPhase.js";

type TaskRow = [number, TaskPhase, number, number[]?, string?, string?];
type StepRow = [number, number[], TaskRow[]];
type ProgressRow = [JobState, number, number[], [number, StepRow[]][]];

/**
 * Restores the progress of a job from a record written by `encodeProgress`.
 *
 * @param job The job, without open occurrences.
 * @param bytes The record.
 * @throws If the bytes aren't such a record.
 */
export function applyProgress(job: Job, bytes: Uint8Array): void {
    const [state, finishedAtMs, done, open] = recordEncoder.decode(bytes) as ProgressRow;
    job.state = state;
    job.finishedAtMs = finishedAtMs;
    for (const number of done) {
        job.doneOccurrences.add(number);
    }
    for (const [number, steps] of open) {
        const occurrence = new Occurrence(job, number, job.getDueTime(number));
        job.openOccurrences.set(number, occurrence);
        for (const [step, gangFailedRuns, rows] of steps) {
            gangFailedRuns.forEach(run => occurrence.steps[step].gangFailedRuns.add(run));
            rows.forEach(row => applyTaskRow(occurrence.steps[step], row));
        }
    }
}

function applyTaskRow(step: StepRun, row: TaskRow): void {
    const [index, phase, run, failedRuns = [], workerId = "", checkpoint = ""] = row;
    const task = step.tasks[index];
    task.phase = phase;
    task.run = run;
    failedRuns.forEach(failed => task.failedRuns.add(failed));
    task.workerId = workerId;
    task.checkpoint = checkpoint;
}
