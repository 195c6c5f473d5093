import type { Task } from "./task.js";

/** Callbacks for changes of a job. */
export interface JobWatcher {
    /** Called when the job's set of startable tasks may have changed. */
    readonly noteChanged: () => void;
    /** Called when a task is throttled, that is, runs below its full speed. */
    readonly noteThrottled: (task: Task) => void;
}
