/** Where a task stands in the log's order. */
export enum TaskPhase {
    Waiting = "waiting",
    /** Bound to a worker: running there, or queued to run there. */
    Bound = "bound",
    Finished = "finished",
    Failed = "failed",
    Cancelled = "cancelled",
    /** Can never run as submitted; the reason says why. */
    Parked = "parked",
}
