/** How a target was used, reported when the target is released. */
export enum TargetUse {
    /** The target answered; a refusal counts as an answer. */
    Answered = "answered",
    Failed = "failed",
    /** No conclusion about the target's health: no try was made, or the try was aborted. */
    Inconclusive = "unjudged",
}
