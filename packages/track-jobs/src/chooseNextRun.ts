import type { Task } from "./task.js";

/** Chooses the number of a task's next run, above those of its copies, and of failed ones that a record tells about. */
export function chooseNextRun(task: Task): number {
    return Math.max(task.run, task.lastCopyRun, ...task.failedRuns) + 1;
}
