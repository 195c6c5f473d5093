/** Whether a question about a job's placement could be answered. */
export enum ExplainOutcome {
    Explained = "explained",
    /** No job with this id is live; one that was accepted a moment ago may not be read yet. */
    UnknownJob = "unknown-job",
    JobFinished = "job-finished",
    UnknownQueue = "unknown-queue",
    InvalidJob = "invalid-job",
    /** The rate limit for such questions is reached. */
    TooOften = "too-often",
}
