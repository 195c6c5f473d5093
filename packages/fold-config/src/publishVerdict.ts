/** What the log's order made of a published change. */
export enum PublishVerdict {
    Accepted = "accepted",
    /** Another change was accepted first. */
    Conflict = "conflict",
    Invalid = "invalid",
}
