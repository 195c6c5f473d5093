import { Task } from "./task.js";

/** Creates a copy of a task, which the next run of the task is started as. */
export function createCopy(task: Task): Task {
    const copy = new Task(task.step, task.index, task);
    copy.checkpoint = task.checkpoint;
    task.copy = copy;
    return copy;
}
