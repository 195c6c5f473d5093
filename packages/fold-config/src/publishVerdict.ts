/** Result of a published change, decided by the order of the records in the log. */
export enum PublishVerdict {
    Accepted = "accepted",
    /** The change is not based on the current version, because another change was accepted first. */
    Conflict = "conflict",
    /** The record or its document does not match the schema. */
    Invalid = "invalid",
}
