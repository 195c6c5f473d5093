/** Why a waiting task was not placed in this round. */
export enum PlacementRefusal {
    /** No worker of the failure domain is large enough, even empty. */
    NeverFits = "never-fits",
    NoRoom = "no-room",
    /** The team is at its largest share. */
    TeamAtMaximum = "team-at-maximum",
    /** The room is kept for batch work's guaranteed share. */
    BatchGuarantee = "batch-guarantee",
}
