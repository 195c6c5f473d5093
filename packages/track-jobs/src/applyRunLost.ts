import type { Task } from "./task.js";
import { TaskPhase } from "./taskPhase.js";

/** Notes that a task's run is certainly gone and left no end. */
export function applyRunLost(task: Task): void {
    if (task.isActive) {
        task.phase = TaskPhase.Waiting;
        task.workerId = "";
        task.percent = 0;
    }
}
