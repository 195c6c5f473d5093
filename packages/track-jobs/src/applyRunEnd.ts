import { JobState, RunEnd } from "@sardinestage/describe-work";
import type { Task } from "./task.js";
import { TaskPhase } from "./taskPhase.js";

/** A run's end as its worker reported it. */
interface ReportedEnd {
    readonly run: number;
    readonly end: RunEnd;
    readonly checkpoint: string;
}

/**
 * Applies the end of a run to its task and job.
 *
 * @param task The task.
 * @param reported How which run ended; an end of an older run only counts when it ended well or failed.
 * @param wallNowMs Time of day in Unix milliseconds, noted when the job comes to its end.
 */
export function applyRunEnd(task: Task, reported: ReportedEnd, wallNowMs: number): void {
    if (task.phase === TaskPhase.Done) {
        return;
    }
    const isNewest = reported.run >= task.run;
    if (reported.end === RunEnd.Done && !task.step.spec.longRunning) {
        finishTask(task);
        finishOccurrence(task, wallNowMs);
        return;
    }
    if (reported.end === RunEnd.Failed) {
        countFailure(task, reported.run, wallNowMs);
        task.lastFailedOn = task.workerId;
    }
    if (isNewest) {
        task.run = reported.run;
        resetTask(task, reported.checkpoint);
    }
}

function finishTask(task: Task): void {
    const members = task.step.spec.gang ? task.step.tasks : [task];
    for (const member of members) {
        member.phase = TaskPhase.Done;
        member.workerId = "";
        member.checkpoint = "";
    }
}

function finishOccurrence(task: Task, wallNowMs: number): void {
    const { occurrence } = task.step;
    const { job } = occurrence;
    if (!task.step.isDone || !occurrence.isDone) {
        return;
    }
    job.open.delete(occurrence.number);
    job.doneOccurrences.add(occurrence.number);
    job.noteTouched();
    if (job.doneOccurrences.size === job.occurrenceCount && !job.isFinished) {
        job.state = JobState.Completed;
        job.finishedAtMs = wallNowMs;
    }
}

/** Counts each run once: what a worker hasn't been told to forget it reports again to the next coordinator. */
function countFailure(task: Task, run: number, wallNowMs: number): void {
    const { spec, occurrence: { job } } = task.step;
    if (spec.longRunning) {
        return;
    }
    task.failedRuns.add(run);
    task.step.gangFailedRuns.add(run);
    const failures = spec.gang ? task.step.gangFailedRuns.size : task.failedRuns.size;
    if (failures >= job.queue.maxAttempts && !job.isFinished) {
        job.state = JobState.Failed;
        job.finishedAtMs = wallNowMs;
    }
}

function resetTask(task: Task, checkpoint: string): void {
    task.phase = TaskPhase.Waiting;
    task.workerId = "";
    task.percent = 0;
    if (checkpoint !== "") {
        task.checkpoint = checkpoint;
    }
}
