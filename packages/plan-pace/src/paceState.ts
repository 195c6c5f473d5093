/** What the pacing of one worker remembers from look to look. */
export interface PaceState {
    /** Since when a serving task has been over its target, in steady milliseconds; undefined while none is. */
    readonly overSinceMs: number | undefined;
    /** After a halt no filling task speeds up before this, in steady milliseconds. */
    readonly heldUntilMs: number;
}
