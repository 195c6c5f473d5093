/** An upkeep wave: the operator's request to take a set of VMs down for upkeep, a few at a time. */
export interface UpkeepWave {
    readonly number: number;
    readonly vms: readonly string[];
    /** Time in which the whole wave must be completed, in milliseconds. */
    readonly durationMs: number;
    /** Maximum number of the wave's VMs that are down at the same time. */
    readonly maxDown: number;
}
