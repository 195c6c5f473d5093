/** The next step of a scheduler towards a silent worker that has tasks bound to it. */
export enum CondemnStep {
    Nothing = "nothing",
    /** Announce the condemnation in the log. */
    Announce = "announce",
    /** Withdraw the announcement, because the worker answers again or the log was unreadable in between. */
    Withdraw = "withdraw",
    /** Release the tasks, because no scheduler contested the condemnation in time. */
    Release = "release",
}
