import type { TaskSpec } from "@sardinestage/types";

/** A running batch task, described by the properties that decide about throttling and evicting it. */
export interface RunningBatchTask {
    readonly spec: TaskSpec;
    /** Share of the task's processors that is taken away now. */
    readonly throttle: number;
    /** Expected interference with the services on the worker, as a share of their latency. */
    readonly interference: number;
    /** Work that an eviction would lose, in milliseconds. */
    readonly lossMs: number;
}
