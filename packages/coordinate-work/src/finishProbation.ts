import type { WorkerLink } from "./workerLink.js";

/** Ends a worker's probation after a successful run, which shows that the worker is healthy. */
export function finishProbation(worker: WorkerLink): void {
    worker.consecutiveFailures = 0;
    worker.failedJobs.clear();
    worker.isOnTrial = false;
}
