import type { WorkerLink } from "./workerLink.js";

/** Ends a worker's probation after a successful run, which shows that the worker is healthy. */
export function finishProbation(link: WorkerLink): void {
    link.failStreak = 0;
    link.failedJobs.clear();
    link.isOnTrial = false;
}
