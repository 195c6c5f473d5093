import type { StepDemand } from "./stepDemand.js";

/** Whether tasks of a demand were at work for users of their own and are away from them now. */
export function isInterrupted(demand: StepDemand): boolean {
    return demand.step.spec.longRunning && demand.waiting.some(task => task.run > 0);
}
