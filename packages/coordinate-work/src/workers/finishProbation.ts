import type { TrackedWorker } from "./trackedWorker.js";

/** Ends a worker's probation and trial, and forgets the failures that they follow from. */
export function finishProbation(worker: TrackedWorker): void {
    worker.failures = [];
    worker.isOnTrial = false;
}
