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
import type { WorkerRoom } from "./workerRoom.js";

/**
 * Decides which waiting tasks start on which workers.
 *
 * @param demands What waits.
 * @param rooms What the workers have left; the plan is taken from it.
 * @param rules Limits of the round.
 */
export function planStarts(
    demands: readonly StepDemand[],
    rooms: readonly WorkerRoom[],
    rules: StartRules,
): StartPlan {
    const starts: PlannedStart[] = [];
    const unmet: StepDemand[] = [];
    const refused = new UnplaceableDemands(rules);
    const ledger = new CapacityLedger(rooms);
    const rankings = new RankingCache(ledger, rules);
    for (const demand of [...demands].sort(compareDemands)) {
        if (starts.length >= rules.maxStarts) {
            break;
        }
        const before = starts.length;
        const plan = demand.step.spec.gang ? planGang : planTasks;
        const isMet = !refused.has(demand) && plan(demand, ledger, rankings, rules, starts);
        if (!isMet) {
            refused.add(demand);
            unmet.push(demand);
            reserveWorkers(demand, starts.slice(before), ledger, rules);
        }
    }
    return { starts, unmet };
}
