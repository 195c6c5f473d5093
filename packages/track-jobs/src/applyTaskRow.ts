import type { StepRun } from "./stepRun.js";
import type { TaskRow } from "./taskRow.js";

/**
 * Restores a task from its row in a progress record.
 *
 * @throws If the step has no such task.
 */
export function applyTaskRow(step: StepRun, row: TaskRow): void {
    const [index, phase, run, failedRuns = [], workerId = "", checkpoint = ""] = row;
    if (!Number.isSafeInteger(index) || index < 0 || index >= step.spec.taskCount) {
        throw new RangeError(`Step ${step.number} has no task ${index}.`);
    }
    const task = step.getTask(index);
    task.run = run;
    failedRuns.forEach(failed => task.addFailedRun(failed));
    task.workerId = workerId;
    task.checkpoint = checkpoint;
    task.phase = phase;
}
