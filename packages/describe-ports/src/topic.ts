/** The streams that the product keeps or reads in the store; each holds the newest record of each key for good. */
export enum Topic {
    /** Who coordinates. */
    Term,
    /** Jobs as they were accepted, and cancellations. */
    Jobs,
    /** What became of each job; written by the coordinator alone. */
    Progress,
    /** What the operator wrote: configuration and waves. */
    Operator,
    /** The workers' entries. */
    Workers,
    /** What the operator is told of waves. */
    Status,
}
