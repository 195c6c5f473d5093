import type { Resources, TaskSpec } from "@sardinestage/types";
import { WorkKind } from "@sardinestage/types";
import type { CandidateWorker } from "./candidateWorker.js";

/** How many times more interference with a service's latency counts than interference with batch run time. */
const SERVICE_INTERFERENCE_WEIGHT = 4;
const SAME_SERVICE_ON_WORKER_COST = 10;
const SAME_SERVICE_ON_RACK_COST = 2;
/** Small, so that packing and spreading decide only between workers with similar interference. */
const LOAD_WEIGHT = 0.2;

interface PlacementCostView {
    readonly spec: TaskSpec;
    readonly worker: CandidateWorker;
    readonly committed: Resources;
    /** How many replicas of the task's service run on the worker's rack. */
    readonly replicasOnRack: number;
    readonly estimateInterference: (victim: TaskSpec, other: TaskSpec) => number;
}

/**
 * Computes the expected cost of running a task on a worker: interference with services and batch work, service replicas
 * on the same worker or rack, and inefficient packing.
 *
 * @returns A cost without unit; lower is better.
 */
export function computePlacementCost(view: PlacementCostView): number {
    const { spec, worker, committed, replicasOnRack, estimateInterference } = view;
    let cost = 0;
    for (const resident of worker.residents) {
        cost += estimateInterference(resident, spec) * computeWeight(resident);
        cost += estimateInterference(spec, resident) * computeWeight(spec);
        cost += spec.service !== undefined && resident.service === spec.service ? SAME_SERVICE_ON_WORKER_COST : 0;
    }
    const load = committed.cpuMillis / Math.max(1, worker.capacity.cpuMillis);
    // Services prefer idle workers. Batch work prefers busy ones, which leaves free capacity for large tasks.
    cost += spec.kind === WorkKind.LatencyCritical ? load * LOAD_WEIGHT : (1 - load) * LOAD_WEIGHT;
    return cost + (spec.service === undefined ? 0 : replicasOnRack * SAME_SERVICE_ON_RACK_COST);
}

function computeWeight(spec: TaskSpec): number {
    return spec.kind === WorkKind.LatencyCritical ? SERVICE_INTERFERENCE_WEIGHT : 1;
}
