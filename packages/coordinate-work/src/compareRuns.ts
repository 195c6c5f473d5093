import type { HoldAnswer, RunningRow } from "@sardinestage/describe-ports";
import { formatTaskKey } from "@sardinestage/describe-work";
import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { RunDifference } from "./runDifference.js";

/** A list of ends so long may go on: what is missing from it says nothing. */
const FULL_PAGE_OF_ENDS = 500;

/**
 * Compares what a worker lists with what is believed of it. The list is the truth about what runs, but only for orders
 * that were settled before the list was asked for.
 *
 * @param believed The tasks that are believed to have a run there.
 * @param answer What the worker lists.
 * @param sentAtMs When the list was asked for, in steady milliseconds.
 * @param findTask Finds a task that may still have work to do.
 */
export function compareRuns(
    believed: ReadonlySet<Task>,
    answer: HoldAnswer,
    sentAtMs: number,
    findTask: (row: RunningRow) => Task | undefined,
): RunDifference {
    const adopted: { task: Task; row: RunningRow }[] = [];
    const matched: { task: Task; row: RunningRow }[] = [];
    const strays: RunningRow[] = [];
    const listed = new Set<Task>();
    for (const row of answer.running) {
        const task = findTask(row);
        if (task !== undefined && believed.has(task) && task.run === row.run) {
            listed.add(task);
            matched.push({ task, row });
        }
        else if (task !== undefined && isNewest(task, row.run)) {
            adopted.push({ task, row });
        }
        else {
            strays.push(row);
        }
    }
    const ended = new Set(answer.ended.map(row => `${formatTaskKey(row.task)}#${row.run}`));
    const missing = answer.ended.length >= FULL_PAGE_OF_ENDS
        ? []
        : [...believed].filter(task => !listed.has(task) && !ended.has(`${formatTaskKey(task.ref)}#${task.run}`));
    return {
        adopted,
        strays,
        matched,
        lost: missing.filter(task => task.settledAtMs < sentAtMs),
        uncertain: missing.filter(task => task.isUncertain && task.settledAtMs >= sentAtMs),
    };
}

/** A run above all that is known was started after they were over, by an earlier coordinator that couldn't record it. */
function isNewest(task: Task, run: number): boolean {
    return run > task.run || (task.phase === TaskPhase.Waiting && run === task.run);
}
