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

/** Score penalty that makes the worker on which the task last failed its last choice. */
const FAILED_WORKER_PENALTY = 10;

/**
 * Places the tasks of a step one by one, as many as fit.
 *
 * @param starts Receives the starts.
 * @returns Whether all tasks that the round may still start were placed.
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
    const ranking = rankings.resolve(demand, isDeferrable(demand, rules));
    const eligible = new EligibleWorkers(ranking, ({ index }) => {
        const worker = ledger.workers[index];
        return !isStepLimitReached(step.spec, perWorker.get(worker.workerId))
            && rules.isAdvised(waiting[0], worker.workerId)
            && rules.reservations?.checkStart(worker, demand) !== false;
    });
    const startable = waiting.slice(0, rules.maxStarts - starts.length);
    const isMet = startable.every(task => {
        const index = takeBest(task, ledger, eligible);
        if (index === undefined) {
            return false;
        }
        const { workerId } = ledger.workers[index];
        ledger.allocate(index, step);
        perWorker.set(workerId, (perWorker.get(workerId) ?? 0) + 1);
        starts.push({ task, workerId });
        return true;
    });
    eligible.close();
    return isMet;
}

/** Removes the best worker for a task. The worker on which the task last failed is avoided, as it may be the cause. */
function takeBest(task: Task, ledger: CapacityLedger, eligible: EligibleWorkers): number | undefined {
    const best = eligible.removeBest();
    if (best === undefined || ledger.workers[best.index].workerId !== task.lastFailedWorkerId) {
        return best?.index;
    }
    const other = eligible.removeBest();
    const score = best.score - FAILED_WORKER_PENALTY;
    const isOtherBetter = other !== undefined
        && (other.score > score || (other.score === score && other.index < best.index));
    const [chosen, unused] = isOtherBetter ? [other, best] : [best, other];
    if (unused !== undefined) {
        eligible.restore(unused);
    }
    return chosen.index;
}
