/** How one try at a target ended. */
export enum TryEnd {
    Answered = "answered",
    /** No byte of the request can have reached the target. */
    NotSent = "not-sent",
    /** The target answered that it did not run the request. */
    RefusedByTarget = "refused-by-target",
    /** The connection was lost after the request had been sent. */
    Lost = "lost",
    /** A timeout passed while waiting for the response. */
    Silent = "silent",
    /** Another try answered first, or the caller disconnected. */
    Aborted = "aborted",
}
