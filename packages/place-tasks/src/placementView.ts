import type { Resources, TaskSpec, TeamQuota } from "@sardinestage/types";
import type { CandidateWorker } from "./candidateWorker.js";

/** Everything that placement decides by. */
export interface PlacementView {
    /** Tasks that wait, oldest first, with the workers on which they failed. */
    readonly waiting: readonly { readonly spec: TaskSpec; readonly failedOn: readonly string[] }[];
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
