/** What became of a read. */
export enum ReadOutcome {
    Read,
    /** The records asked for are no longer kept. */
    Expired,
    /** The store refused or didn't answer. */
    Failed,
}
