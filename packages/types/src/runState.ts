/** State of an attempt as reported by its worker. */
export enum RunState {
    Running = "running",
    /** Ended on its own with a result. */
    Succeeded = "succeeded",
    /** Ended on its own with an error. */
    Failed = "failed",
    /** Stopped on request; if the attempt has a checkpoint, the checkpoint was confirmed before the stop. */
    Stopped = "stopped",
    /** Stopped by the worker because the task lease expired. */
    Lapsed = "lapsed",
}
