/** Why a waiting task was not placed in this round. */
export enum PlacementRefusal {
    /** The task needs more than the largest worker of the failure domain has, even when it is empty. */
    NeverFits = "never-fits",
    /** No worker that this scheduler may use has enough free capacity now. */
    NoRoom = "no-room",
    /** The task would take its team above the team's maximum share. */
    TeamAtMaximum = "team-at-maximum",
    /** The capacity is reserved for the guaranteed share of batch work. */
    BatchGuarantee = "batch-guarantee",
}
