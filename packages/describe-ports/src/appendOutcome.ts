/** Outcome of an append. */
export enum AppendOutcome {
    Appended,
    /** The topic doesn't end at the expected offset; nothing was written. */
    ConditionFailed,
    /** The store has seen a higher epoch of this writer; nothing was written. */
    Fenced,
    /** The store expected another sequence number; nothing was written. */
    SequenceMismatch,
    /** The store refused the call for now; nothing was written. */
    Refused,
    /** The store didn't answer; the records may have been written, or may be written later. */
    Unknown,
    /** A record or all of them together are larger than the store takes; nothing was written, nor ever will be. */
    TooLarge,
    /** The store can't take the call as it is; nothing was written, nor ever will be. */
    Malformed,
}
