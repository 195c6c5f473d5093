import { CapacityLedger } from "./capacityLedger.js";
import { compareDemands } from "./compareDemands.js";
import type { DemandOutcome } from "./demandOutcome.js";
import { hasFailures } from "./hasFailures.js";
import { planGang } from "./planGang.js";
import type { PlannedStart } from "./plannedStart.js";
import { planTasks } from "./planTasks.js";
import { RankingCache } from "./rankingCache.js";
import { reserveWorkers } from "./reserveWorkers.js";
import type { StartPlan } from "./startPlan.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import { TrialAccess } from "./trialAccess.js";
import { UnplaceableDemands } from "./unplaceableDemands.js";
import type { WorkerCapacity } from "./workerCapacity.js";

/** Outcome of a demand whose tasks don't fit, as those of an earlier one didn't. */
const NOT_TRIED: DemandOutcome = { isMet: false, heldBackCount: 0 };

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
    const heldBack: StepDemand[] = [];
    const unplaceable = new UnplaceableDemands(rules);
    const ledger = new CapacityLedger(workers, rules.reservations);
    const rankings = new RankingCache(ledger, rules);
    const planDemand = (demand: StepDemand, access: TrialAccess) => {
        const before = starts.length;
        const plan = demand.step.spec.gang ? planGang : planTasks;
        // A reserved start needs the same room as others that didn't fit, but may use what these may not.
        const mayFit = !unplaceable.has(demand) || rules.reservations?.has(demand.step) === true;
        const { isMet, heldBackCount } = mayFit ? plan(demand, ledger, rankings, rules, starts, access) : NOT_TRIED;
        const placed = starts.slice(before);
        rules.reservations?.releaseStarted(demand, placed, ledger);
        if (heldBackCount > 0) {
            heldBack.push(demand);
            rules.reservations?.dropUnneeded(demand, demand.waiting.length - placed.length - heldBackCount, ledger);
        }
        return { isMet, heldBackCount, placed };
    };
    const noteUnmet = (demand: StepDemand, placed: readonly PlannedStart[], heldBackCount: number) => {
        if (rules.reservations?.isHeldBack(demand, workers) !== true) {
            unplaceable.add(demand);
        }
        unmet.push(demand);
        if (rules.reservations === undefined) {
            reserveWorkers(demand, placed, ledger, rules);
        }
        else {
            rules.reservations.reserve(demand, placed, ledger, rules, heldBackCount);
        }
    };
    const hasTrials = workers.some(({ trial }) => trial !== undefined);
    const postponed: StepDemand[] = [];
    for (const demand of [...demands].sort(compareDemands)) {
        if (starts.length >= rules.maxStarts) {
            break;
        }
        const { isMet, heldBackCount, placed } = planDemand(demand, TrialAccess.Telling);
        if (!isMet && hasTrials && hasFailures(demand)) {
            // It may still fit on workers on trial, where it yields to tasks whose ends tell more.
            postponed.push(removeStarted(demand, placed));
        }
        else if (!isMet) {
            noteUnmet(demand, placed, heldBackCount);
        }
    }
    for (const demand of postponed) {
        if (starts.length >= rules.maxStarts) {
            break;
        }
        const { isMet, heldBackCount, placed } = planDemand(demand, TrialAccess.All);
        if (!isMet) {
            noteUnmet(demand, placed, heldBackCount);
        }
    }
    return { starts, unmet, heldBack };
}

function removeStarted(demand: StepDemand, placed: readonly PlannedStart[]): StepDemand {
    const started = new Set(placed.map(({ task }) => task));
    return { ...demand, waiting: demand.waiting.filter(task => !started.has(task)) };
}
