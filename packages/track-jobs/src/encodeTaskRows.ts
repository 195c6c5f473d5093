import { recordEncoder } from "./recordEncoder.js";
import type { Task } from "./task.js";
import { TaskPhase } from "./taskPhase.js";

/**
 * Encodes a record of tasks. If it is larger than the store takes, the tasks' checkpoints are left out: they then start
 * over after a takeover, but the record of what ran isn't lost.
 *
 * @param convert Converts tasks by means of the given function into the value to encode.
 * @param maxBytes The largest record that the store takes, in bytes.
 */
export function encodeTaskRows(
    convert: (convertTasks: (tasks: Iterable<Task>) => unknown[]) => unknown,
    maxBytes: number,
): Uint8Array {
    const encoded = recordEncoder.encode(convert(tasks => convertTasks(tasks, true)));
    return encoded.length <= maxBytes
        ? encoded
        : recordEncoder.encode(convert(tasks => convertTasks(tasks, false)));
}

/** Converts the tasks that have run or are done. */
function convertTasks(tasks: Iterable<Task>, hasCheckpoints: boolean): unknown[] {
    const rows: unknown[] = [];
    for (const task of tasks) {
        if (task.run > 0 || task.phase === TaskPhase.Done) {
            rows.push(convertTask(task, hasCheckpoints));
        }
    }
    return rows;
}

function convertTask(task: Task, hasCheckpoints: boolean): unknown[] {
    if (task.phase === TaskPhase.Done) {
        return [task.index, TaskPhase.Done, task.run];
    }
    const { copy } = task;
    const newest = copy !== undefined && copy.isActive && copy.run > task.run ? copy : task;
    const phase = newest.isActive ? TaskPhase.Ordered : TaskPhase.Waiting;
    const checkpoint = hasCheckpoints ? task.checkpoint : "";
    return [task.index, phase, newest.run, [...task.failedRuns], newest.workerId, checkpoint];
}
