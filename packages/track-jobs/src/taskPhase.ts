/** Phase of a task. */
export enum TaskPhase {
    /** No run of the task is active. */
    Waiting,
    /** A run has been ordered, but the worker doesn't list the run yet. */
    Ordered,
    /** The worker lists the run as active. */
    Running,
    /** A stop of the run has been ordered, but the worker hasn't reported the run's end yet. */
    Stopping,
    /** The task is finished and won't run again. */
    Done,
}
