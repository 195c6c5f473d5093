import { CapacityLedger } from "./capacityLedger.js";
import { compareDemands } from "./compareDemands.js";
import { planGang } from "./planGang.js";
import type { PlannedStart } from "./plannedStart.js";
import { planTasks } from "./planTasks.js";
import { RankingCache } from "./rankingCache.js";
import { reserveWorkers } from "./reserveWorkers.js";
import type { StartPlan } from "./startPlan.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import { UnplaceableDemands } from "./unplaceableDemands.js";
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
    const starts: PlannedStart[] = [];
    const unmet: StepDemand[] = [];
    const unplaceable = new UnplaceableDemands(rules);
    const ledger = new CapacityLedger(workers);
    const rankings = new RankingCache(ledger, rules);
    for (const demand of [...demands].sort(compareDemands)) {
        if (starts.length >= rules.maxStarts) {
            break;
        }
        const before = starts.length;
        const plan = demand.step.spec.gang ? planGang : planTasks;
        const isMet = !unplaceable.has(demand) && plan(demand, ledger, rankings, rules, starts);
        if (!isMet) {
            unplaceable.add(demand);
            unmet.push(demand);
            reserveWorkers(demand, starts.slice(before), ledger, rules);
        }
    }
    return { starts, unmet };
}
