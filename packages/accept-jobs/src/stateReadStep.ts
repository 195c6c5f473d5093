/** The steps in which a job's state is read from the store. */
export enum StateReadStep {
    None = "none",
    Progress = "progress",
    Jobs = "jobs",
    ProgressAgain = "progress-again",
}
