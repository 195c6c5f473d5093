/** Outcome of a read. */
export enum ReadOutcome {
    Read,
    /** The store no longer keeps the requested records. */
    Expired,
    /** The store refused the call or didn't answer. */
    Failed,
}
