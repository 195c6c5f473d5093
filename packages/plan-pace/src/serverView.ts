/** A serving task as the pacing decision sees it. */
export interface ServerView {
    /** Tail latency over the last half second, in milliseconds; 0 while none was measured. */
    readonly tailMs: number;
    /** The bound of the tail, in milliseconds. */
    readonly targetMs: number;
    /** Its usual tail without neighbours, in milliseconds. */
    readonly aloneMs: number;
}
