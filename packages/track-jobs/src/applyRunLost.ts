import type { Task } from "./task.js";
import { TaskPhase } from "./taskPhase.js";

/** Updates a task whose active run is lost: the worker certainly no longer has the run, and reports no end. */
export function applyRunLost(task: Task): void {
    if (task.isActive) {
        task.phase = TaskPhase.Waiting;
        task.workerId = "";
        task.percent = 0;
    }
}
