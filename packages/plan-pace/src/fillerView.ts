/** A filling task as the pacing decision sees it. */
export interface FillerView<Key> {
    readonly key: Key;
    /** How much headroom it would take from the serving tasks at full speed, in their order. */
    readonly harms: readonly number[];
    /** The share of its speed that it works at, in percent. */
    readonly percent: number;
    /** When it was last told its pace, in steady milliseconds. */
    readonly pacedAtMs: number;
}
