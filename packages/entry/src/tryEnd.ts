/** How one try at a target ended. */
export enum TryEnd {
    Answered = "answered",
    /** No byte of the request can have reached the target. */
    NotSent = "not-sent",
    /** The target said that it did not run the request. */
    RefusedByTarget = "refused-by-target",
    /** The connection was lost after the request went out. */
    Lost = "lost",
    /** The answer made no progress in time. */
    Silent = "silent",
    /** Another try was faster, or the caller went away. */
    Aborted = "aborted",
}
