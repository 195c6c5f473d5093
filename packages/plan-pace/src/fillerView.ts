/** A filling task as the pacing decision sees it. */
export interface FillerView {
    readonly key: string;
    /** How much it would raise the tails of the serving tasks at full speed, in their order, in milliseconds. */
    readonly harmsMs: readonly number[];
    /** The share of its speed that it works at, in percent. */
    readonly percent: number;
}
