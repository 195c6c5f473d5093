/** The kinds of unusually large work that `runHeavyWork` plays. */
export enum HeavyScenario {
    /** A schedule of one occurrence each five minutes for a year, all of which are due. */
    OverdueSchedule = "overdue-schedule",
    /** A job of 30 steps of 10,000 tasks that don't depend on each other. */
    WideJob = "wide-job",
    /** A job of 30 steps of 10,000 tasks, each after the one before. */
    LongJob = "long-job",
    /** Dozens of wide jobs, and hundreds of overdue schedules of several steps. */
    ManyJobs = "many-jobs",
}
