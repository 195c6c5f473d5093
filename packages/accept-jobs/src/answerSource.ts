/** Where the answer to a question for a job's state came from. */
export enum AnswerSource {
    Coordinator = "coordinator",
    /** What this VM remembers of the job. */
    Remembered = "remembered",
    Store = "store",
    None = "none",
}
