import type { Job } from "./job.js";
import { recordEncoder } from "./recordEncoder.js";
import type { StepRun } from "./stepRun.js";
import type { Task } from "./task.js";
import { TaskPhase } from "./taskPhase.js";

/**
 * Encodes the progress of a job, from which a new coordinator restores the job:
 * `[state, finishedAt, done occurrences, open occurrences]`. Leaves out tasks that have never run.
 */
export function encodeProgress(job: Job): Uint8Array {
    const open = job.isFinished
        ? []
        : [...job.openOccurrences.values()].map(
            occurrence => [occurrence.number, occurrence.steps.flatMap(convertStep)],
        );
    return recordEncoder.encode([job.state, job.finishedAtMs, [...job.doneOccurrences], open]);
}

function convertStep(step: StepRun): unknown[] {
    const rows = step.tasks.filter(isTouched).map(convertTask);
    return rows.length === 0 ? [] : [[step.number, [...step.gangFailedRuns], rows]];
}

function isTouched(task: Task): boolean {
    return task.run > 0 || task.phase === TaskPhase.Done;
}

function convertTask(task: Task): unknown[] {
    if (task.phase === TaskPhase.Done) {
        return [task.index, TaskPhase.Done, task.run];
    }
    const phase = task.isActive ? TaskPhase.Ordered : TaskPhase.Waiting;
    return [task.index, phase, task.run, [...task.failedRuns], task.workerId, task.checkpoint];
}
