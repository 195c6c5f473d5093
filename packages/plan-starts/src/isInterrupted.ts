import type { StepDemand } from "./stepDemand.js";

/** Whether a waiting task of a long-running step has run before and so is missing from the step's service. */
export function isInterrupted(demand: StepDemand): boolean {
    return demand.step.spec.longRunning && demand.waiting.some(task => task.run > 0);
}
