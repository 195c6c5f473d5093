/** How one run of a task ended. */
export enum RunEnd {
    Done,
    /** The task or its worker failed. */
    Failed,
    /** A stop order ended the run. */
    Stopped,
    /** The worker's lease expired. */
    Lapsed,
    /** Another member of the run's gang ended. */
    Broken,
    /** The other members of the run's gang didn't start in time. */
    Alone,
}
