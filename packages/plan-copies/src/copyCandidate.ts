/** A running task that may be copied. */
export interface CopyCandidate<T> {
    readonly item: T;
    readonly queue: string;
    /** Capacity that the copy needs, in thousandths of a core. */
    readonly cpuMillis: number;
    /** How much longer the present run is expected to take, in milliseconds. */
    readonly remainingMs: number;
    /** How long a new run is expected to take, in milliseconds. */
    readonly newRunMs: number;
}
