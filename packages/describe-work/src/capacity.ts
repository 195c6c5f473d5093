/** What a worker has, or what something takes of it. */
export interface Capacity {
    /** Thousandths of a core. */
    readonly cpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}
