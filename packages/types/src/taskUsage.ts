/** Measured use of one attempt; lags behind. */
export interface TaskUsage {
    readonly taskId: string;
    readonly cpuMillis: number;
    readonly memoryMb: number;
    /** Mean latency of a service replica's requests in milliseconds, absent for batch. */
    readonly latencyMs?: number;
    /** Requests served a second, absent for batch. */
    readonly requestsPerSecond?: number;
}
