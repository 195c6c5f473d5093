import type { StepDemand } from "./stepDemand.js";

/** Whether a waiting task of a long-running step has run before, so that its users do without the task now. */
export function isInterrupted(demand: StepDemand): boolean {
    return demand.step.spec.longRunning && demand.waiting.some(task => task.run > 0);
}
