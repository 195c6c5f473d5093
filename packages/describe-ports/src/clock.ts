/** Time and timers. Tests replace the system clock by a virtual one. */
export interface Clock {
    /** Monotonic time in milliseconds, since an arbitrary start. */
    getNow(): number;
    /** Wall-clock time in Unix milliseconds; may jump forwards or backwards. */
    getWallTime(): number;
    /**
     * Calls `run` once after a delay.
     *
     * @returns A function that cancels the timer.
     */
    schedule(delayMs: number, run: () => void): () => void;
}
