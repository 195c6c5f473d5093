import type { WorkerLink } from "./workerLink.js";

/** Notes a run that ended well: the worker is sound. */
export function finishProbation(link: WorkerLink): void {
    link.failStreak = 0;
    link.failedJobs.clear();
    link.isOnTrial = false;
}
