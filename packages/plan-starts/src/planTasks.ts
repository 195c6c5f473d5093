import type { Task } from "@sardinestage/track-jobs";
import type { CapacityLedger } from "./capacityLedger.js";
import { countTasksPerWorker } from "./countTasksPerWorker.js";
import { EligibleWorkers } from "./eligibleWorkers.js";
import { isDeferrable } from "./isDeferrable.js";
import { isStepLimitReached } from "./isStepLimitReached.js";
import type { PlannedStart } from "./plannedStart.js";
import type { RankingCache } from "./rankingCache.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";

/** A worker on which the task has failed is the last choice. */
const FAILED_THERE_PENALTY = 10;

/**
 * Places the tasks of a step one by one, as many as find room.
 *
 * @param starts Takes the starts.
 * @returns Whether all found room, as far as the round may start them.
 */
export function planTasks(
    demand: StepDemand,
    ledger: CapacityLedger,
    rankings: RankingCache,
    rules: StartRules,
    starts: PlannedStart[],
): boolean {
    const { step, waiting } = demand;
    const perWorker = countTasksPerWorker(step);
    const ranking = rankings.resolve(step, isDeferrable(demand, rules));
    const open = new EligibleWorkers(ranking, ({ index }) => {
        const { workerId } = ledger.workers[index];
        return !isStepLimitReached(step.spec, perWorker.get(workerId)) && rules.isAdvised(waiting[0], workerId);
    });
    const startable = waiting.slice(0, rules.maxStarts - starts.length);
    const isMet = startable.every(task => {
        const index = takeBest(task, ledger, open);
        if (index === undefined) {
            return false;
        }
        const { workerId } = ledger.workers[index];
        ledger.allocate(index, step);
        perWorker.set(workerId, (perWorker.get(workerId) ?? 0) + 1);
        starts.push({ task, workerId });
        return true;
    });
    open.close();
    return isMet;
}

/** A task that failed on a worker gets its next chance elsewhere: the worker may be at fault. */
function takeBest(task: Task, ledger: CapacityLedger, open: EligibleWorkers): number | undefined {
    const best = open.removeBest();
    if (best === undefined || ledger.workers[best.index].workerId !== task.lastFailedOn) {
        return best?.index;
    }
    const other = open.removeBest();
    const score = best.score - FAILED_THERE_PENALTY;
    const isOtherBetter = other !== undefined
        && (other.score > score || (other.score === score && other.index < best.index));
    const [chosen, unused] = isOtherBetter ? [other, best] : [best, other];
    if (unused !== undefined) {
        open.restore(unused);
    }
    return chosen.index;
}
