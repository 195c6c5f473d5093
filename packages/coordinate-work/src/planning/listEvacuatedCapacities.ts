import type { WorkerCapacity } from "@sardinestage/plan-starts";
import { explainUnusable } from "../workers/explainUnusable.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import { UnusableReason } from "../workers/unusableReason.js";
import { buildWorkerCapacity } from "./buildWorkerCapacity.js";

/** Lists the free capacity of the workers that get no start only because their failure domain is evacuated. */
export function listEvacuatedCapacities(workers: Iterable<TrackedWorker>, nowMs: number): readonly WorkerCapacity[] {
    return [...workers]
        .filter(worker => worker.isEvacuated && explainUnusable(worker, nowMs) === UnusableReason.Evacuated)
        .map(worker => buildWorkerCapacity(worker, 1, () => undefined));
}
