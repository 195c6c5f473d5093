/** Capacity that the tasks of a queue use, in thousandths of a core. */
export interface CpuUsage {
    usedCpuMillis: number;
    /** The part of it that long-running tasks use. */
    heldCpuMillis: number;
}
