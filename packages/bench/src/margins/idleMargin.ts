/** What a log tells of the long-running tasks that were idle for one reason. */
export interface IdleMargin {
    readonly reason: string;
    readonly isCalm: boolean;
    lines: number;
    /** Lines whose oldest task had never run. */
    firstStartLines: number;
    /** The most tasks in one line. */
    mostTasks: number;
    /** The greatest time without a run, in milliseconds, and what was known then. */
    mostIdleMs: number;
    oldestTask: string;
    oldestSecond: number;
    /** Free processor of the last summary before, in thousandths of a core. */
    freeCpuMillis: number | undefined;
    /** The greatest time for this reason, in milliseconds. */
    mostReasonMs: number;
    /** Lines past each of `IDLE_LIMITS_MS`. */
    readonly linesPast: number[];
    firstSecond: number;
    lastSecond: number;
}
