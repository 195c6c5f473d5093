import type { StepDemand } from "./stepDemand.js";

/**
 * Orders demands: by priority, then those that can still be in time, then those that are late but of use,
 * and within these the tightest first. Work that ends goes before work that stays: it gives its room back. Answers
 * bursts: work that is past saving must not hold up the rest.
 *
 * @returns Negative when `left` goes first.
 */
export function compareDemands(left: StepDemand, right: StepDemand): number {
    return getPriority(left) - getPriority(right)
        || Number(left.step.spec.longRunning) - Number(right.step.spec.longRunning)
        || getLateness(left) - getLateness(right)
        || left.slackMs - right.slackMs;
}

function getPriority(demand: StepDemand): number {
    return demand.step.occurrence.job.queue.priority;
}

function getLateness(demand: StepDemand): number {
    if (demand.slackMs >= 0) {
        return 0;
    }
    return demand.lateSlackMs >= 0 ? 1 : 2;
}
