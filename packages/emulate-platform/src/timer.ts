/** A scheduled callback. */
export interface Timer {
    readonly atMs: number;
    /** Of two timers due at the same time, the one with the lower number runs first. */
    readonly sequenceNumber: number;
    readonly run: () => void;
}
