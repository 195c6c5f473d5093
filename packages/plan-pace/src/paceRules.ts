/** Limits of the pacing decision. */
export interface PaceRules {
    /** Time until a new pace shows in the figures, in milliseconds. */
    readonly settleMs: number;
    /** Over the target for so long: filling tasks that do harm stand still. */
    readonly haltAfterMs: number;
    /** Over the target for so long: all filling tasks stand still. */
    readonly haltAllAfterMs: number;
    /** Over the target for so long with filling tasks at work: they are stopped for good. */
    readonly stopAfterMs: number;
    /** A task is told to work faster only by so much at least, in percent of its full speed. */
    readonly leastRisePercent: number;
    /** How long a task keeps its pace before it may go from a standstill to full speed, in milliseconds. */
    readonly riseWaitMs: number;
}
