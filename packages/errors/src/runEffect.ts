/** Whether a failed call may have had an effect. */
export enum RunEffect {
    NotRun = "not-run",
    MayHaveRun = "may-have-run",
}
