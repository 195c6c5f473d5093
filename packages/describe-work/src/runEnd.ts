/** How one run of a task ended. */
export enum RunEnd {
    Done,
    /** Through its own fault or the worker's. */
    Failed,
    /** By an order to stop. */
    Stopped,
    /** The worker's lease ran out. */
    Lapsed,
    /** Another member of its gang ended. */
    Broken,
    /** The other members of its gang didn't come in time. */
    Alone,
}
