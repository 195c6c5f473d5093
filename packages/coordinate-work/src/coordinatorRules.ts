/** Times and limits of a coordinator. */
export interface CoordinatorRules {
    /**
     * How long a worker may run on without hearing from a coordinator, in milliseconds. Successors wait as long for workers
     * that don't answer them, so that no two VMs that coordinate in turn may have different ones.
     */
    readonly leaseMs: number;
    /** The longest lease that a worker grants, in milliseconds; an earlier coordinator may have given it. */
    readonly maxLeaseMs: number;
    /** How long the state of a finished job is kept, in milliseconds. */
    readonly keepFinishedMs: number;
    /** Serving tasks over their target for so long are a broken promise, in milliseconds. */
    readonly harmMs: number;
    /** Time until a new pace takes effect, in milliseconds. */
    readonly paceMs: number;
    /** An entry that vanished while the store was away is back within this, in milliseconds. */
    readonly entryReturnMs: number;
}
