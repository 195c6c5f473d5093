/** What a target was used for, as it is given back. */
export enum TargetUse {
    /** It answered, a refusal included. */
    Answered = "answered",
    Failed = "failed",
    /** Nothing can be said of it: nothing was sent, or the try was given up. */
    Unjudged = "unjudged",
}
