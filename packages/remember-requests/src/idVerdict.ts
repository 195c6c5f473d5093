/** What can be said of the id of a non-idempotent request. */
export enum IdVerdict {
    /** Not seen before, and would have been: the request may run. */
    Fresh = "fresh",
    /** Seen before: it may have run. */
    Known = "known",
    /** Older than this process's knowledge: it may have run. */
    TooOld = "too-old",
    /** Made later than any clock can be: it did not run. */
    FromFuture = "from-future",
    /** Not a UUID of version 7: it did not run. */
    Malformed = "malformed",
    /** No more ids can be kept: it did not run. */
    TableFull = "table-full",
}
