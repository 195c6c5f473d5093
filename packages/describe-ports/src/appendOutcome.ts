/** What became of an append. */
export enum AppendOutcome {
    Appended,
    /** The topic ends elsewhere; nothing was written. */
    ConditionFailed,
    /** A writer with a higher epoch is known; nothing was written. */
    Fenced,
    /** Another sequence number was expected; nothing was written. */
    SequenceMismatch,
    /** The store refused; nothing was written. */
    Refused,
    /** No answer: it may have been written, or may be written yet. */
    Unknown,
}
