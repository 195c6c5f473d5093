/** The three kinds of outcome that a caller can get for a request. */
export enum RequestOutcome {
    Answered = "answered",
    /** The request did not run. */
    Refused = "refused",
    /** The request may have run. */
    Unknown = "unknown",
}
