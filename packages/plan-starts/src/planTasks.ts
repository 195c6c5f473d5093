import type { Task } from "@sardinestage/track-jobs";
import type { CapacityLedger } from "./capacityLedger.js";
import { chooseRequiredTrust } from "./chooseRequiredTrust.js";
import { countTasksPerWorker } from "./countTasksPerWorker.js";
import type { DemandOutcome } from "./demandOutcome.js";
import { EligibleWorkers } from "./eligibleWorkers.js";
import { hasOneAttemptLeft } from "./hasOneAttemptLeft.js";
import { HELD_BACK } from "./heldBack.js";
import { isDeferrable } from "./isDeferrable.js";
import { isStepLimitReached } from "./isStepLimitReached.js";
import { isTrialAllowed } from "./isTrialAllowed.js";
import type { PlannedStart } from "./plannedStart.js";
import type { RankingCache } from "./rankingCache.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import { takeTrusted } from "./takeTrusted.js";
import { TrialAccess } from "./trialAccess.js";
import { WorkerTrust } from "./workerTrust.js";

/** Score penalty that makes the worker on which the task last failed its last choice. */
const FAILED_WORKER_PENALTY = 10;

/**
 * Places the tasks of a step one by one, as many as fit.
 *
 * @param starts The round's starts so far, of which some may be of this step; receives further ones.
 * @param trialAccess Which tasks may start on workers that are on trial.
 * @returns Whether the demand is met. A wait for a trusted worker is no reason to reserve or free capacity.
 */
export function planTasks(
    demand: StepDemand,
    ledger: CapacityLedger,
    rankings: RankingCache,
    rules: StartRules,
    starts: PlannedStart[],
    trialAccess = TrialAccess.Telling,
): DemandOutcome {
    const { step, waiting } = demand;
    const perWorker = countTasksPerWorker(step, listStartedBefore(demand, starts, trialAccess));
    const ranking = rankings.resolve(demand, isDeferrable(demand, rules));
    let avoidsSlow = rules.isSlow !== undefined;
    let [currentTask] = waiting;
    const eligible = new EligibleWorkers(ranking, ({ index }) => {
        const worker = ledger.workers[index];
        return !isStepLimitReached(step.spec, perWorker.get(worker.workerId))
            && rules.isAdvised(waiting[0], worker.workerId)
            && rules.reservations?.checkStart(worker, demand) !== false
            && isTrialAllowed(currentTask, worker, trialAccess)
            && !(avoidsSlow && rules.isSlow?.(worker.workerId) === true);
    });
    const take = (task: Task) => {
        const requiredTrust = chooseRequiredTrust(demand, task, ledger.workers, rules);
        return requiredTrust === WorkerTrust.Suspect
            ? takeBest(task, ledger, eligible)
            : takeTrusted(task, { requiredTrust, canWaitForProof: demand.slackMs > 0 }, ledger, eligible, rules);
    };
    const candidates = waiting.slice(0, rules.maxStarts - starts.length);
    const startable = listFailingLast(listByAttemptsLeft(candidates, rules));
    let heldBackCount = 0;
    const isMet = startable.every(task => {
        currentTask = task;
        let index = take(task);
        if (avoidsSlow && (index === undefined || index === HELD_BACK)) {
            // A last attempt takes a trusted slow worker rather than wait. Other tasks go on to avoid slow ones meanwhile.
            const wasHeldBack = index === HELD_BACK;
            avoidsSlow = false;
            eligible.close();
            index = take(task);
            avoidsSlow = wasHeldBack;
        }
        if (index === HELD_BACK) {
            heldBackCount++;
            return true;
        }
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
    return { isMet, heldBackCount };
}

/** Lists the workers on which the round has started tasks of the step when it didn't use all trials yet. */
function listStartedBefore(
    { step }: StepDemand,
    starts: readonly PlannedStart[],
    access: TrialAccess,
): readonly string[] {
    return access === TrialAccess.All
        ? starts.filter(({ task }) => task.step === step).map(({ workerId }) => workerId)
        : [];
}

/** Lists the tasks with one attempt left first, which have the smallest choice of workers. */
function listByAttemptsLeft(tasks: readonly Task[], { estimateTrust }: StartRules): readonly Task[] {
    return estimateTrust === undefined || !tasks.some(hasOneAttemptLeft)
        ? tasks
        : [...tasks].sort((left, right) => Number(hasOneAttemptLeft(right)) - Number(hasOneAttemptLeft(left)));
}

/** Lists the tasks that fail everywhere last: they may use the fewest of the workers that are on trial. */
function listFailingLast(tasks: readonly Task[]): readonly Task[] {
    return tasks.some(task => task.failsEverywhere)
        ? [...tasks].sort((left, right) => Number(left.failsEverywhere) - Number(right.failsEverywhere))
        : tasks;
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
