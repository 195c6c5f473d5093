/** Rank of a demand by its queue's share; the lowest starts first. */
export enum ShareRank {
    /** The queue stays within its share if all waiting tasks of the demand start. */
    Within,
    /** The queue is below its share, and exceeds it if all waiting tasks of the demand start. */
    Exceeding,
    /** The queue uses its whole share already, or the demands before this one do. */
    Over,
    /** The job's result is no longer useful, so it may not delay any other. */
    Useless,
}
