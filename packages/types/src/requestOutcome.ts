/** The three families of outcomes that a caller can be told. */
export enum RequestOutcome {
    Answered = "answered",
    /** The request did not run. */
    Refused = "refused",
    /** The request may have run. */
    Unknown = "unknown",
}
