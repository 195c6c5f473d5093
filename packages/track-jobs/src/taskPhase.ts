/** Where a task stands. */
export enum TaskPhase {
    /** Nothing of it runs. */
    Waiting,
    /** A run was ordered, and hasn't been seen at work. */
    Ordered,
    /** The worker lists the run. */
    Running,
    /** The run was told to stop, and its end hasn't been seen. */
    Stopping,
    /** It has ended well, for good. */
    Done,
}
