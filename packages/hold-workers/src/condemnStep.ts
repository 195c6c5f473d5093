/** What a scheduler does next about a silent worker that has tasks bound to it. */
export enum CondemnStep {
    Nothing = "nothing",
    /** Announce the condemnation in the log. */
    Announce = "announce",
    /** Take an announcement back that can't be relied on any more. */
    Withdraw = "withdraw",
    /** Nobody objected in time: release the tasks. */
    Release = "release",
}
