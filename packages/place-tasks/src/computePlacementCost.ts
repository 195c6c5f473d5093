import type { Resources, TaskSpec } from "@sardinestage/types";
import { WorkKind } from "@sardinestage/types";
import type { CandidateWorker } from "./candidateWorker.js";

/** A service's latency is worth so many times batch run time. */
const SERVICE_HARM_WEIGHT = 4;
const SAME_SERVICE_ON_WORKER_COST = 10;
const SAME_SERVICE_ON_RACK_COST = 2;
/** Small, so that packing and spreading only decide between workers of like harm. */
const LOAD_WEIGHT = 0.2;

interface ScoreView {
    readonly spec: TaskSpec;
    readonly worker: CandidateWorker;
    readonly committed: Resources;
    /** Replicas of the task's own service by rack. */
    readonly replicasOnRack: number;
    readonly estimateHarm: (victim: TaskSpec, other: TaskSpec) => number;
}

/**
 * The expected cost of running a task on a worker: harm to services and to batch work, loss of spread, bad packing.
 *
 * @returns A cost without unit; lower is better.
 */
export function computePlacementCost(view: ScoreView): number {
    const { spec, worker, committed, replicasOnRack, estimateHarm } = view;
    let cost = 0;
    for (const resident of worker.residents) {
        cost += estimateHarm(resident, spec) * computeWeight(resident);
        cost += estimateHarm(spec, resident) * computeWeight(spec);
        cost += spec.service !== undefined && resident.service === spec.service ? SAME_SERVICE_ON_WORKER_COST : 0;
    }
    const load = committed.cpuMillis / Math.max(1, worker.capacity.cpuMillis);
    // Services spread out; batch work packs, which leaves room for large tasks.
    cost += spec.kind === WorkKind.LatencyCritical ? load * LOAD_WEIGHT : (1 - load) * LOAD_WEIGHT;
    return cost + (spec.service === undefined ? 0 : replicasOnRack * SAME_SERVICE_ON_RACK_COST);
}

function computeWeight(spec: TaskSpec): number {
    return spec.kind === WorkKind.LatencyCritical ? SERVICE_HARM_WEIGHT : 1;
}
