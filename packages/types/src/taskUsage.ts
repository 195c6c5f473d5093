/** Measured resource use of one attempt, which lags behind the actual use. */
export interface TaskUsage {
    readonly taskId: string;
    readonly cpuMillis: number;
    readonly memoryMb: number;
    /** Mean latency of a service replica's requests, in milliseconds; absent for a batch task. */
    readonly latencyMs?: number;
    /** Requests served per second; absent for a batch task. */
    readonly requestsPerSecond?: number;
}
