/** Outcome of a submission or a cancellation. */
export enum SubmitOutcome {
    /** The record is in the store. */
    Accepted,
    /** The record isn't in the store and won't be. */
    Refused,
    /** The record may be in the store, or may still be written. */
    Unknown,
}
