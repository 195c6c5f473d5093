/** Capacity that a queue's running tasks hold, in thousandths of a core. */
export interface QueueUse {
    /** Capacity of the tasks' own runs. */
    readonly ownCpuMillis: number;
    /** Capacity of the copies. */
    readonly copyCpuMillis: number;
}
