import type { Task } from "./task.js";

/** Is told of what happens to a job. */
export interface JobWatcher {
    /** What could start of it may have changed. */
    readonly noteTouched: () => void;
    /** A task isn't allowed its full speed. */
    readonly noteSlowed: (task: Task) => void;
}
