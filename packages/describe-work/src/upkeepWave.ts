/** The operator's request to maintain a set of VMs. */
export interface UpkeepWave {
    readonly number: number;
    readonly vms: readonly string[];
    /** How long the whole wave may take, in milliseconds. */
    readonly durationMs: number;
    /** At most so many of its VMs are down at once. */
    readonly maxDown: number;
}
