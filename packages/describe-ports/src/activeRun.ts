import type { TaskRef } from "@sardinestage/describe-work";

/** A run that is active on a worker, as the worker lists it. */
export interface ActiveRun {
    readonly task: TaskRef;
    readonly run: number;
    /** Last checkpoint that the run saved; empty for none. */
    readonly checkpoint: string;
    /** Progress in percent; 100 for a long-running task that has started up. */
    readonly percent: number;
    /** Tail latency in milliseconds for a serving task; CPU usage in thousandths of a core for any other task. */
    readonly measurement: number;
}
