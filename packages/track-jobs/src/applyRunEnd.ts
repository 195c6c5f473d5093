import { JobState, RunEnd } from "@sardinestage/describe-work";
import type { Task } from "./task.js";
import { TaskPhase } from "./taskPhase.js";

/** The end of a run, as the worker reported it. */
interface ReportedEnd {
    readonly run: number;
    readonly end: RunEnd;
    readonly checkpoint: string;
    /**
     * Whether another run of the same number is active on another worker. An earlier coordinator may have started a run
     * without recording it, so that its successor gave the number once more. The active run goes on.
     */
    readonly isDuplicate?: boolean;
    /** Whether the run was a copy of the task, so that its end leaves the task's own run alone unless it is done. */
    readonly isCopy?: boolean;
}

/**
 * Updates a task and its job for the end of a run.
 *
 * @param task The task.
 * @param reported The ended run. The end of a run older than the newest one counts only if the run is done or failed.
 * @param wallNowMs Current wall-clock time in Unix milliseconds; recorded as the job's end if the job is finished now.
 */
export function applyRunEnd(task: Task, reported: ReportedEnd, wallNowMs: number): void {
    if (task.phase === TaskPhase.Done) {
        return;
    }
    const isNewest = reported.run >= task.run && reported.isDuplicate !== true && reported.isCopy !== true;
    if (reported.end === RunEnd.Done && !task.step.spec.longRunning) {
        finishTask(task);
        finishOccurrence(task, wallNowMs);
        return;
    }
    if (reported.end === RunEnd.Failed) {
        // Both runs count as attempts, so one of them counts under a number that no run has.
        countFailure(task, reported.isDuplicate === true ? -reported.run : reported.run, wallNowMs);
        task.lastFailedWorkerId = task.workerId;
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
    job.finishOccurrence(occurrence);
    if (job.doneOccurrences.size === job.occurrenceCount && !job.isFinished) {
        job.state = JobState.Completed;
        job.finishedAtMs = wallNowMs;
    }
}

/**
 * Counts a failed run of a task, and fails the job after too many. Each run is counted once, although a worker reports
 * an end again, also to the next coordinator, until the end is acknowledged.
 */
function countFailure(task: Task, run: number, wallNowMs: number): void {
    const { spec, occurrence: { job } } = task.step;
    if (spec.longRunning) {
        return;
    }
    task.step.noteFailedRun(task, run);
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
