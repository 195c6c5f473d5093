/** A best-effort task in the pacing decision. */
export interface BestEffortTaskView<Key> {
    readonly key: Key;
    /** Headroom that the task takes from each serving task at full speed, in the order of the serving tasks. */
    readonly interference: readonly number[];
    /** The task's current pace, in percent of full speed. */
    readonly percent: number;
    /** When the task's pace was last set, in steady milliseconds. */
    readonly pacedAtMs: number;
}
