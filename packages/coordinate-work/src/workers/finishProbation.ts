import type { TrackedWorker } from "./trackedWorker.js";

/** Ends a worker's probation after a run that shows that the worker is healthy. */
export function finishProbation(worker: TrackedWorker): void {
    worker.consecutiveFailures = 0;
    worker.failedJobs.clear();
    worker.isOnTrial = false;
}
