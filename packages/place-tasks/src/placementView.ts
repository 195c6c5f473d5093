import type { Resources, TaskSpec, TeamQuota } from "@sardinestage/types";
import type { CandidateWorker } from "./candidateWorker.js";

/** A task that waits for a worker. */
interface WaitingTask {
    readonly spec: TaskSpec;
    /** Workers on which an attempt of it failed. */
    readonly failedOn: readonly string[];
    /** Whether it has waited long enough for other schedulers to have found room, if there were any. */
    readonly mayBindAhead: boolean;
}

/** Everything that placement decides by. */
export interface PlacementView {
    /** Tasks that wait, oldest first. */
    readonly waiting: readonly WaitingTask[];
    readonly workers: readonly CandidateWorker[];
    /** Every task that is bound in the failure domain, also by other schedulers. */
    readonly domainTasks: readonly TaskSpec[];
    /** Processors of all workers of the failure domain, in thousandths of a core. */
    readonly domainCpuMillis: number;
    readonly largestWorker: Resources;
    readonly teams: readonly TeamQuota[];
    readonly batchShare: number;
    readonly bindAhead: number;
    readonly maxPlacements: number;
    readonly estimateSize: (spec: TaskSpec) => Resources;
    /** Expected extra time of `victim` next to `other`, as a share. */
    readonly estimateHarm: (victim: TaskSpec, other: TaskSpec) => number;
}
