import { Task } from "./task.js";
import { TaskPhase } from "./taskPhase.js";

/**
 * Creates an object for a task's own run that is still active after a copy has ended as done. It stands for the run until
 * the run has been stopped.
 */
export function createRemainder(task: Task): Task {
    const remainder = new Task(task.step, task.index, task);
    remainder.run = task.run;
    remainder.workerId = task.workerId;
    remainder.orderedAtMs = task.orderedAtMs;
    remainder.firstSeenAtMs = task.firstSeenAtMs;
    remainder.orderSettledAtMs = task.orderSettledAtMs;
    remainder.orderFence = task.orderFence;
    remainder.isStartQueued = task.isStartQueued;
    remainder.isStartUnderWay = task.isStartUnderWay;
    remainder.isStartUnconfirmed = task.isStartUnconfirmed;
    remainder.phase = TaskPhase.Running;
    return remainder;
}
