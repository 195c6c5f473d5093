/** Whether the failed call had an effect. */
export enum RunEffect {
    NotRun = "not-run",
    MayHaveRun = "may-have-run",
}
