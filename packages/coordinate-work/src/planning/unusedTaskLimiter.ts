import type { StepRun } from "@sardinestage/track-jobs";

/**
 * Waiting tasks that may stay in memory as objects if the latest round hasn't listed some of them, over all steps: 700
 * bytes each with its step's lists.
 */
const MAX_WAITING_TASKS = 5000;
/** The same if the latest round has listed them all. Overloaded days have up to 7,000, which each round lists again. */
const MAX_LISTED_TASKS = 20_000;

/**
 * Limits the waiting tasks that stay in memory because a round has considered them. Those of steps that the latest round
 * has listed are kept if possible: the next round lists most of them again, and would create them anew.
 */
export class UnusedTaskLimiter {
    private readonly steps = new Set<StepRun>();

    /** Notes the steps whose waiting tasks a round has listed; releases tasks if too many are in memory. */
    noteListed(steps: Iterable<StepRun>): void {
        const listed = new Set(steps);
        listed.forEach(step => this.steps.add(step));
        if (this.countKept() > MAX_WAITING_TASKS) {
            this.release(step => !listed.has(step));
        }
        if (this.countKept() > MAX_LISTED_TASKS) {
            this.release(() => true);
        }
    }

    private countKept(): number {
        let count = 0;
        for (const step of this.steps) {
            if (step.knownWaitingCount === 0) {
                this.steps.delete(step);
            }
            count += step.knownWaitingCount;
        }
        return count;
    }

    private release(isReleased: (step: StepRun) => boolean): void {
        for (const step of this.steps) {
            if (isReleased(step)) {
                step.releaseUnused();
                this.steps.delete(step);
            }
        }
    }
}
