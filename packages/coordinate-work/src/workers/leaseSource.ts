/** What the latest end of a worker's lease follows from. */
export enum LeaseSource {
    /** The worker hasn't answered in this term: earlier coordinators may have extended its lease. */
    EarlierTerms = "earlier-terms",
    /** A renewal or a start of this term states the end on the clock of the worker, which has answered. */
    Order = "order",
    /** A start may have reached a later life, which grants the longest lease. */
    StartOnUnknownLife = "start-on-unknown-life",
}
