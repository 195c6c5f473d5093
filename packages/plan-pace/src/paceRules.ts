/** Delays and thresholds of the pacing decision. */
export interface PaceRules {
    /** Time until a new pace shows in the measurements, in milliseconds. */
    readonly settleMs: number;
    /** Time over a latency target after which best-effort tasks that interfere are paused, in milliseconds. */
    readonly pauseAfterMs: number;
    /** Time over a latency target after which all best-effort tasks are paused, in milliseconds. */
    readonly pauseAllAfterMs: number;
    /** Time over a latency target after which best-effort tasks that still run are stopped, in milliseconds. */
    readonly stopAfterMs: number;
    /** Smallest increase of a task's pace, in percent of full speed. */
    readonly minIncreasePercent: number;
    /**
     * How long a task keeps its pace before it may go from paused to full speed, in milliseconds. A smaller increase
     * waits longer in inverse proportion: half of full speed waits twice as long.
     */
    readonly increaseDelayMs: number;
}
