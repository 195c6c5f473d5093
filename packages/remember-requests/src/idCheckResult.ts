/** Result of checking the id of a non-idempotent request for a duplicate. */
export enum IdCheckResult {
    /** Certainly not used before: the request may run. */
    Fresh = "fresh",
    /** Used before: the request may have run. */
    Known = "known",
    /** Created before the time from which this process remembers all ids: the request may have run. */
    TooOld = "too-old",
    /** Created in the future, beyond the allowed clock skew: the request did not run. */
    FromFuture = "from-future",
    /** Not a UUID of version 7: the request did not run. */
    Malformed = "malformed",
    /** The table of remembered ids is full: the request did not run. */
    TableFull = "table-full",
}
