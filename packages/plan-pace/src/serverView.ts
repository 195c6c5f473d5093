/** A serving task as the pacing decision sees it. */
export interface ServerView {
    /** Its target over its tail latency in the last half second: below 1 it misses its target; undefined unmeasured. */
    readonly headroom: number | undefined;
    /** What that is expected to be without filling tasks once a new pace shows; undefined while unknown. */
    readonly aloneHeadroom: number | undefined;
}
