import type { TaskSpec } from "@sardinestage/types";

/** A batch task that runs on a worker, as far as a reaction to it goes. */
export interface RunningBatch {
    readonly spec: TaskSpec;
    readonly throttle: number;
    /** Expected harm to the services on the worker, as a share of their latency. */
    readonly harm: number;
    /** Work that an eviction would lose, in milliseconds. */
    readonly lossMs: number;
}
