/** What a worker says of one attempt. */
export enum RunState {
    Running = "running",
    /** Ended by itself with a result. */
    Succeeded = "succeeded",
    /** Ended by itself with an error. */
    Failed = "failed",
    /** Stopped on request, after a confirmed checkpoint where there is one. */
    Stopped = "stopped",
    /** Stopped by the worker because its task lease lapsed. */
    Lapsed = "lapsed",
}
