import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";

/** Whether a best-effort demand still waits for a worker on which serving tasks wouldn't miss their latency targets. */
export function isDeferrable(demand: StepDemand, rules: Pick<StartRules, "maxBestEffortWaitMs">): boolean {
    return demand.step.spec.isBestEffort && demand.waitedMs < rules.maxBestEffortWaitMs;
}
