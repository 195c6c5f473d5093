/** An amount of a worker's resources. */
export interface Resources {
    readonly cpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}
