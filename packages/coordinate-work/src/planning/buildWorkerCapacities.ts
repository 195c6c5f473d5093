import type { WorkerCapacity } from "@sardinestage/plan-starts";
import type { Task } from "@sardinestage/track-jobs";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import { buildWorkerCapacity } from "./buildWorkerCapacity.js";

/**
 * Computes the free capacity of the workers that may get a start now.
 *
 * @param workers The workers; those that may get no start are left out of the result.
 * @param getStartsLeft How many starts a worker may get now.
 * @param estimateHeadroom Estimates a serving task's headroom without best-effort tasks; undefined while unknown.
 */
export function buildWorkerCapacities(
    workers: Iterable<TrackedWorker>,
    getStartsLeft: (worker: TrackedWorker) => number,
    estimateHeadroom: (task: Task) => number | undefined,
): WorkerCapacity[] {
    const capacities: WorkerCapacity[] = [];
    for (const worker of workers) {
        const startsLeft = getStartsLeft(worker);
        if (startsLeft > 0) {
            capacities.push(buildWorkerCapacity(worker, startsLeft, estimateHeadroom));
        }
    }
    return capacities;
}
