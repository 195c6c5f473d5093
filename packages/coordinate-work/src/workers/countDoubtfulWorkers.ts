import type { FailureEvidence, StepRun } from "@sardinestage/track-jobs";

/**
 * Counts the workers on which a step may still succeed: a task that has never failed is active there, and the step has
 * failed nowhere else on it. A gang fails as a whole, so its other members show nothing.
 *
 * @param maxCount The count stops once it is above this.
 */
export function countDoubtfulWorkers(step: StepRun, evidence: FailureEvidence, maxCount: number): number {
    if (step.spec.gang) {
        return 0;
    }
    const workerIds = new Set<string>();
    for (const task of step.listKnown()) {
        if (workerIds.size > maxCount) {
            break;
        }
        if (task.isActive && task.failureEvidence === undefined && !evidence.hasFailedOn(task.workerId)) {
            workerIds.add(task.workerId);
        }
    }
    return workerIds.size;
}
