/** What the front desk asks of the coordinator. */
export enum CoordinatorCallKind {
    /** The state of a job. */
    GetState = 1,
    /** How many jobs of a queue wait. */
    GetPending = 2,
    /** Append records for a VM that the store doesn't answer. */
    Append = 3,
    /** A cancellation that is in the store. */
    Cancel = 4,
}
