import { JobState, RunEnd } from "@sardinestage/describe-work";
import type { Job } from "./job.js";
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
    const { job } = task.step.occurrence;
    const isNewest = reported.run >= task.run;
    if (reported.end === RunEnd.Done && !task.step.spec.longRunning) {
        finishTask(task);
        finishOccurrence(task, wallNowMs);
        return;
    }
    if (reported.end === RunEnd.Failed) {
        countFailure(task, job, wallNowMs);
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
    if (job.doneOccurrences.size === job.occurrenceCount && !job.isFinished) {
        job.state = JobState.Completed;
        job.finishedAtMs = wallNowMs;
    }
}

function countFailure(task: Task, job: Job, wallNowMs: number): void {
    const { spec } = task.step;
    if (spec.longRunning) {
        return;
    }
    task.failures++;
    task.step.gangFailures++;
    const failures = spec.gang ? task.step.gangFailures : task.failures;
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
