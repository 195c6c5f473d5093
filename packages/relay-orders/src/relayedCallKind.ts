/** Kinds of calls to workers, in the order in which a relay makes the calls of one request. */
export enum RelayedCallKind {
    /** First, since the worker's tasks end with its lease. */
    RenewLease,
    Stop,
    Pace,
    Start,
}
