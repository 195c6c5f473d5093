/** Why the store gave no answer to a question. */
export enum StoreSilence {
    /** The store wasn't asked, since no time was left. */
    NotAsked = "not-asked",
    /** The pages that were read so far don't answer the question. */
    TimedOut = "timed-out",
    /** The read was refused at once, because several earlier pages had failed. */
    Refused = "refused",
    /** The record was read, and can't be decoded. */
    Unreadable = "unreadable",
}
