/** Amounts of the resources that a worker offers or that a task needs. */
export interface Resources {
    /** Processor time, in thousandths of a core. */
    readonly cpuMillis: number;
    /** Memory, in megabytes. */
    readonly memoryMb: number;
    /** Whole accelerators. */
    readonly accelerators: number;
    /** Task slots. */
    readonly slots: number;
}
