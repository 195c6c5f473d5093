import type { StepSpec } from "@sardinestage/describe-work";
import { computePlacementScore } from "./computePlacementScore.js";
import type { PlacementView } from "./placementView.js";
import type { WorkerCapacity } from "./workerCapacity.js";

/**
 * Memory that a reserved thousandth of a core usually comes with, in MB: long-running tasks of 6.4 cores take 13 GB. Free
 * processor without that memory fits few tasks, so it doesn't count as usable.
 */
const MEMORY_PER_CPU_MILLI = 2;
/** Unit of the score, in thousandths of a core: about the largest worker, so that remainders score between 0 and 1. */
const SCORE_UNIT_CPU_MILLIS = 48_000;
/** Weight of usable capacity that the task takes beyond its processor, compared with capacity that stays unused. */
const LOSS_WEIGHT = 2;
/** Above the largest difference between two remainders: a task far from its data takes up to 3 times as long. */
const REMOTE_DATA_PENALTY = 4;
/** Expected tail latency of serving tasks, as a share of their target, above which a placement is penalized. */
const TOLERATED_LATENCY_RATIO = 0.65;
/** Weight of the latency ratio above `TOLERATED_LATENCY_RATIO`. */
const LATENCY_RATIO_PENALTY = 4;
/**
 * Weight of the share of the worker's serving tasks with the same sensitivity to interference. Above the largest
 * difference between two remainders: best-effort tasks find no worker where sensitive tasks are spread over all workers.
 */
const SIMILAR_SENSITIVITY_BONUS = 3;

/**
 * Scores the placement of one task of a step on a worker so that free capacity stays in large pieces; the highest score
 * wins.
 *
 * Tasks that reserve processor go where they leave the smallest usable remainder (best fit). Best-effort tasks use what
 * is left, so their placement is scored as usual.
 */
export function computePackingScore(worker: WorkerCapacity, spec: StepSpec, view: PlacementView): number {
    if (spec.isBestEffort) {
        return computePlacementScore(worker, spec, view);
    }
    const usable = computeUsable(worker.freeCpuMillis, worker.freeMemoryMb);
    const remainder = computeUsable(worker.freeCpuMillis - spec.cpuMillis, worker.freeMemoryMb - spec.memoryMb);
    const cost = (remainder + (usable - remainder) * LOSS_WEIGHT) / SCORE_UNIT_CPU_MILLIS;
    const isRemote = spec.preferredRack !== "" && !worker.labels.includes(spec.preferredRack);
    const latencyPenalty = Math.max(0, view.latencyRatio - TOLERATED_LATENCY_RATIO) * LATENCY_RATIO_PENALTY;
    const bonus = spec.tailLatencyTargetMs > 0 ? view.similarSensitivityShare * SIMILAR_SENSITIVITY_BONUS : 0;
    return bonus - cost - (isRemote ? REMOTE_DATA_PENALTY : 0) - latencyPenalty;
}

/** Free processor that comes with the usual memory, in thousandths of a core. */
function computeUsable(freeCpuMillis: number, freeMemoryMb: number): number {
    return Math.min(freeCpuMillis, freeMemoryMb / MEMORY_PER_CPU_MILLI);
}
