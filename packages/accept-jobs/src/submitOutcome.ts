/** Outcome of a submission or a cancellation. */
export enum SubmitOutcome {
    /** The record is in the store. */
    Accepted,
    /** The record isn't in the store and won't be. */
    Refused,
    /** The record isn't in the store and won't be: open jobs take as much memory as they may. */
    NoRoom,
    /** The record isn't in the store and won't be: the store takes no record like it, now or later. */
    Invalid,
    /** The record may be in the store, or may still be written. */
    Unknown,
}
