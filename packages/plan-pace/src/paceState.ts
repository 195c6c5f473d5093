/** The state of one worker's pacing, kept from one decision to the next. */
export interface PaceState {
    /** Since when a serving task has exceeded its latency target, in steady milliseconds; undefined while none does. */
    readonly overSinceMs: number | undefined;
    /** No best-effort task speeds up before this time after a pause, in steady milliseconds. */
    readonly noIncreaseUntilMs: number;
}
