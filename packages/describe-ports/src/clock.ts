/** Time and timers; tests drive one of their own. */
export interface Clock {
    /** Steady time in milliseconds, from any beginning. */
    getNow(): number;
    /** Time of day in Unix milliseconds; may jump. */
    getWallTime(): number;
    /**
     * Calls back once after a delay.
     *
     * @returns A function that cancels the call.
     */
    schedule(delayMs: number, run: () => void): () => void;
}
