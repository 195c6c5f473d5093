import type { StartPlan } from "./startPlan.js";
import { StartPlanner } from "./startPlanner.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import type { WorkerCapacity } from "./workerCapacity.js";

/**
 * Decides which waiting tasks start on which workers.
 *
 * @param demands Waiting tasks by step.
 * @param workers Free capacity of the workers, from which the planned tasks are subtracted.
 * @param rules Limits of the planning round.
 */
export function planStarts(
    demands: readonly StepDemand[],
    workers: readonly WorkerCapacity[],
    rules: StartRules,
): StartPlan {
    return new StartPlanner(workers, rules).plan(demands);
}
