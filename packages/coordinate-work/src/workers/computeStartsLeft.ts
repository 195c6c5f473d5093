import { explainUnusable } from "./explainUnusable.js";
import type { TrackedWorker } from "./trackedWorker.js";

/** Starts that a healthy worker may get in one round. */
const HEALTHY_STARTS = 1000;

/** Computes how many starts a worker may get now: one on trial after a probation, else as many as fit. */
export function computeStartsLeft(worker: TrackedWorker, nowMs: number): number {
    if (explainUnusable(worker, nowMs) !== undefined) {
        return 0;
    }
    return worker.isOnTrial ? 1 : HEALTHY_STARTS;
}
