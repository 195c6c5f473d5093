/** A serving task in the pacing decision. */
export interface ServingTaskView {
    /**
     * The task's latency target divided by its tail latency in the last half second. Below 1 the task misses its
     * target; undefined while unmeasured.
     */
    readonly headroom: number | undefined;
    /** Headroom expected without best-effort tasks once a new pace takes effect; undefined while unknown. */
    readonly aloneHeadroom: number | undefined;
}
