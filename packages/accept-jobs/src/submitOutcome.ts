/** What became of a submission or a cancellation. */
export enum SubmitOutcome {
    /** It is in the store. */
    Accepted,
    /** It isn't in the store and won't be. */
    Refused,
    /** It may be in the store, or may come there yet. */
    Unknown,
}
