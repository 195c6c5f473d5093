/** What becomes of a worker after a failed run. */
export enum ProbationOutcome {
    NotNeeded = "NotNeeded",
    Started = "Started",
    /** The worker seems to be at fault, but so do too many others. */
    TooMany = "TooMany",
}
