/** Resources that a worker offers, or that a task or a reservation uses. */
export interface Capacity {
    /** CPU in thousandths of a core. */
    readonly cpuMillis: number;
    readonly memoryMb: number;
    /** Number of whole accelerators. */
    readonly accelerators: number;
}
