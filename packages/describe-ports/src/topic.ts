/** The store's topics that the scheduler reads or writes. Each keeps the newest record of each key indefinitely. */
export enum Topic {
    /** The coordinator's terms and their renewals. */
    Term,
    /** Accepted jobs and cancellations. */
    Jobs,
    /** State and progress of each job; only the coordinator writes to this topic. */
    Progress,
    /** The operator's configuration and upkeep waves. */
    Operator,
    /** The platform's list of workers. */
    Workers,
    /** Status of upkeep waves, for the operator. */
    Status,
}
