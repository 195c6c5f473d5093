import type { StepRun } from "@sardinestage/track-jobs";

/** Waiting tasks that may stay in memory as objects between rounds, over all steps: 700 bytes each with its step's lists. */
const MAX_WAITING_TASKS = 5000;

/**
 * Limits the waiting tasks that stay in memory because a round has considered them. Most are considered again in the
 * next round, so that they are released only when there are too many.
 */
export class UnusedTaskLimiter {
    private readonly steps = new Set<StepRun>();

    /** Notes the steps whose waiting tasks a round has listed; releases tasks if too many are in memory. */
    noteListed(steps: Iterable<StepRun>): void {
        for (const step of steps) {
            this.steps.add(step);
        }
        let count = 0;
        for (const step of this.steps) {
            if (step.knownWaitingCount === 0) {
                this.steps.delete(step);
            }
            count += step.knownWaitingCount;
        }
        if (count > MAX_WAITING_TASKS) {
            this.steps.forEach(step => step.releaseUnused());
            this.steps.clear();
        }
    }
}
