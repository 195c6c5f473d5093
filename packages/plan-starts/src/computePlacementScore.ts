import type { StepSpec } from "@sardinestage/describe-work";
import type { PlacementView } from "./placementView.js";
import type { WorkerCapacity } from "./workerCapacity.js";

/** Penalty for a worker outside the rack of the task's data, where the task takes 1.5 times as long. */
const REMOTE_DATA_PENALTY = 0.5;
/** Expected tail latency of serving tasks, as a share of their target, above which a placement is penalized. */
const TOLERATED_LATENCY_RATIO = 0.65;
/** Weight of the latency ratio above `TOLERATED_LATENCY_RATIO`. */
const LATENCY_RATIO_PENALTY = 4;
/**
 * Penalty for a worker without serving tasks, applied to best-effort tasks that don't interfere: such workers are kept
 * for tasks that do.
 */
const NO_SERVING_TASKS_PENALTY = 0.4;
/**
 * Weight of the share of the worker's serving tasks with the same sensitivity to interference: a worker tolerates only
 * as much interference as its most sensitive task.
 */
const SIMILAR_SENSITIVITY_BONUS = 1.5;
/** Weight of the reserved share of a worker's CPU, which packs serving tasks onto few workers. */
const PACKING_BONUS = 0.5;
/** Share of their reserved CPU that running tasks are assumed to use. */
const ASSUMED_USE_SHARE = 0.6;

/**
 * Scores the placement of one task of a step on a worker; the highest score wins.
 *
 * Serving tasks are packed, those of the same sensitivity to interference together, so that some workers stay free of
 * them for tasks that interfere. Best-effort tasks go to workers with the most unused CPU and no serving task close to
 * its latency target. All other tasks go to workers where they take the least CPU from best-effort tasks.
 */
export function computePlacementScore(worker: WorkerCapacity, spec: StepSpec, view: PlacementView): number {
    const capacity = Math.max(1, worker.capacityCpuMillis);
    const reserved = capacity - worker.freeCpuMillis;
    const unusedShare = (capacity - reserved * ASSUMED_USE_SHARE - worker.bestEffortCpuMillis - spec.cpuMillis)
        / capacity;
    const remoteDataPenalty = spec.preferredRack !== "" && !worker.labels.includes(spec.preferredRack)
        ? REMOTE_DATA_PENALTY
        : 0;
    const latencyPenalty = Math.max(0, view.latencyRatio - TOLERATED_LATENCY_RATIO) * LATENCY_RATIO_PENALTY;
    if (spec.tailLatencyTargetMs > 0) {
        return view.similarSensitivityShare * SIMILAR_SENSITIVITY_BONUS + (reserved / capacity) * PACKING_BONUS
            - remoteDataPenalty
            - latencyPenalty;
    }
    const isAvoided = spec.isBestEffort && !view.isInterfering && worker.servingTasks.length === 0;
    return unusedShare - remoteDataPenalty - latencyPenalty - (isAvoided ? NO_SERVING_TASKS_PENALTY : 0);
}
