/** Why a request did not run, or why its outcome is not known; each has a counter. */
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
    /** Unknown outcome: the id was used before. */
    DuplicateId = "duplicate-id",
    /** Unknown outcome: the id is older than what this entry can know. */
    IdTooOld = "id-too-old",
    /** Unknown outcome: the target was lost while it worked. */
    TargetLost = "target-lost",
    /** Unknown outcome: no progress of the answer in time. */
    TargetSilent = "target-silent",
}
