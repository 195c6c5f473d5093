/** What the pacing of one worker remembers from look to look. */
export interface PaceState {
    /** The share of their speed that filling tasks are allowed, in percent. */
    readonly percent: number;
    /** Since when a serving task has been over its target, in steady milliseconds; undefined while none is. */
    readonly overSinceMs: number | undefined;
    /** When the share was last changed, in steady milliseconds. */
    readonly changedAtMs: number;
}
