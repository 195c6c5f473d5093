/** Why a request did not run, or why its outcome is unknown. Each reason is a label of the refusal counter. */
export enum RefusalReason {
    Unauthenticated = "unauthenticated",
    Malformed = "malformed",
    UnknownService = "unknown-service",
    BodyTooLarge = "body-too-large",
    TooManyRequests = "too-many-requests",
    QueueFull = "queue-full",
    DisplacedByUrgent = "displaced-by-urgent",
    DeadlineUnreachable = "deadline-unreachable",
    DeadlinePassed = "deadline-passed",
    NoTarget = "no-target",
    Draining = "draining",
    HomeUnreachable = "home-unreachable",
    PeerUnreachable = "peer-unreachable",
    IdFromFuture = "id-from-future",
    NotReady = "not-ready",
    TargetRefused = "target-refused",
    CrossDomainBudget = "cross-domain-budget",
    /** Outcome unknown: the id was used before. */
    DuplicateId = "duplicate-id",
    /** Outcome unknown: the id is older than the ids that this entry remembers. */
    IdTooOld = "id-too-old",
    /** Outcome unknown: the connection to the target was lost while the request ran. */
    TargetLost = "target-lost",
    /** Outcome unknown: the target's response timed out. */
    TargetSilent = "target-silent",
}
