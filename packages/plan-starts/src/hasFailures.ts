import type { StepDemand } from "./stepDemand.js";

/** Whether runs of a demand's step have failed since the last that succeeded, so that it may not use every trial. */
export function hasFailures({ step, waiting }: StepDemand): boolean {
    return step.failureEvidence !== undefined || waiting.some(task => task.failureEvidence !== undefined);
}
