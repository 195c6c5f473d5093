import type { Resources, TaskSpec, TeamQuota } from "@sardinestage/types";
import type { CandidateWorker } from "./candidateWorker.js";

/** A task that waits for a worker. */
interface WaitingTask {
    readonly spec: TaskSpec;
    /** Workers on which an attempt of the task failed. */
    readonly failedOn: readonly string[];
    /**
     * Whether the task may be bound to a full worker. True once it has waited long enough for any other scheduler with
     * free capacity to have bound it.
     */
    readonly mayBindAhead: boolean;
}

/** Input of one placement round. */
export interface PlacementView {
    /** Waiting tasks, oldest first. */
    readonly waiting: readonly WaitingTask[];
    readonly workers: readonly CandidateWorker[];
    /** All tasks that are bound in the failure domain, including those bound by other schedulers. */
    readonly domainTasks: readonly TaskSpec[];
    /** Processor capacity of all workers of the failure domain, in thousandths of a core. */
    readonly domainCpuMillis: number;
    /** The largest capacity of any worker of the failure domain, taken for each resource separately. */
    readonly largestWorker: Resources;
    readonly teams: readonly TeamQuota[];
    /** Share of the failure domain's processors that is guaranteed to batch work. */
    readonly batchShare: number;
    /** How many batch tasks may be bound to one full worker. */
    readonly bindAhead: number;
    readonly maxPlacements: number;
    readonly estimateSize: (spec: TaskSpec) => Resources;
    /** Expected extra run time or latency of `victim` when `other` runs on the same worker, as a share. */
    readonly estimateInterference: (victim: TaskSpec, other: TaskSpec) => number;
}
