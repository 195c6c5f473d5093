/** Phase of a task, determined by the records of the log in their order. */
export enum TaskPhase {
    Waiting = "waiting",
    /** Bound to a worker: running there, or queued to run there. */
    Bound = "bound",
    Finished = "finished",
    Failed = "failed",
    Cancelled = "cancelled",
    /** Can never run as submitted; the reason kept with the task says why. */
    Parked = "parked",
}
