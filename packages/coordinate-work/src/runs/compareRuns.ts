import type { ActiveRun, LeaseReport } from "@sardinestage/describe-ports";
import { formatTaskKey } from "@sardinestage/describe-work";
import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { ReportRequest } from "../renewals/reportRequest.js";
import { WorkerLife } from "../workers/workerLife.js";
import type { RunDifference } from "./runDifference.js";

/** A report with this many ends may be cut off, so that a run missing from it isn't known to be lost. */
const MAX_REPORTED_ENDS = 500;

/**
 * Compares the runs that a worker reports with the runs that are expected there. The report is authoritative, but only
 * for the orders that it settles.
 *
 * @param expected The tasks that are expected to have a run on the worker.
 * @param report The worker's report.
 * @param request The call that the report answers.
 * @param findTask Finds the task of a reported run, if its job and occurrence are still open.
 */
export function compareRuns(
    expected: ReadonlySet<Task>,
    report: LeaseReport,
    request: ReportRequest,
    findTask: (row: ActiveRun) => Task | undefined,
): RunDifference {
    const adopted: { task: Task; row: ActiveRun }[] = [];
    const matched: { task: Task; row: ActiveRun }[] = [];
    const unneeded: ActiveRun[] = [];
    const listed = new Set<Task>();
    for (const row of report.running) {
        const task = findTask(row);
        if (task !== undefined && expected.has(task) && task.run === row.run) {
            listed.add(task);
            matched.push({ task, row });
        }
        else if (task !== undefined && isNewer(task, row.run)) {
            adopted.push({ task, row });
        }
        else {
            unneeded.push(row);
        }
    }
    const beside = new Set(unneeded.map(findTask));
    const isComplete = report.ended.length < MAX_REPORTED_ENDS;
    const missing = isComplete && listed.size < expected.size ? listMissing(expected, listed, report) : [];
    return {
        adopted,
        unneeded,
        matched,
        // A task isn't started again beside another run of it, which has to end first.
        lost: missing.filter(task => WorkerLife.isSettledBy(task, request) && !beside.has(task)),
        uncertain: missing.filter(task => task.isStartUnconfirmed && !WorkerLife.isSettledBy(task, request)),
    };
}

/** Lists the expected tasks whose runs are reported neither as active nor as ended. */
function listMissing(expected: ReadonlySet<Task>, listed: ReadonlySet<Task>, report: LeaseReport): Task[] {
    const ended = new Set(report.ended.map(row => `${formatTaskKey(row.task)}#${row.run}`));
    return [...expected].filter(task => !listed.has(task) && !ended.has(`${formatTaskKey(task.ref)}#${task.run}`));
}

/**
 * Whether a reported run is newer than the newest known run of its task. An earlier coordinator started such a run
 * after the known ones had ended, and couldn't record it. A run with the same number counts as newer too if the task
 * has been set back to waiting. A copy that was given up isn't needed while the task's own run is active, and no run is
 * once the task is done: an earlier coordinator may have been stopping a copy then.
 */
function isNewer(task: Task, run: number): boolean {
    if (task.phase === TaskPhase.Done) {
        return false;
    }
    const isFormerCopy = task.isActive && run <= task.lastCopyRun;
    return (run > task.run && !isFormerCopy) || (task.phase === TaskPhase.Waiting && run === task.run);
}
