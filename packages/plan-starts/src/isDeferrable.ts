import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";

/** Whether a demand rather waits than goes where serving tasks would miss their targets. */
export function isDeferrable(demand: StepDemand, rules: StartRules): boolean {
    return demand.step.spec.fillsLeftover && demand.waitedMs < rules.longestWaitMs;
}
