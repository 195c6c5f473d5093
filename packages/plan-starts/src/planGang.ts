import type { CapacityLedger } from "./capacityLedger.js";
import { chooseRequiredTrust } from "./chooseRequiredTrust.js";
import type { DemandOutcome } from "./demandOutcome.js";
import { EligibleWorkers } from "./eligibleWorkers.js";
import { hasCapacity } from "./hasCapacity.js";
import { isAllowedOn } from "./isAllowedOn.js";
import { isInterrupted } from "./isInterrupted.js";
import { isTrialAllowed } from "./isTrialAllowed.js";
import type { PlannedStart } from "./plannedStart.js";
import type { RankingCache } from "./rankingCache.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import { TrialAccess } from "./trialAccess.js";
import type { WorkerCapacity } from "./workerCapacity.js";
import type { WorkerRanking } from "./workerRanking.js";

/** The workers that may get tasks of a gang. */
interface GangWorkers {
    /** Those that get tasks first. */
    readonly preferred: ReadonlySet<WorkerCapacity>;
    readonly usable: ReadonlySet<WorkerCapacity>;
}

/**
 * Places all tasks of a gang or none, because part of a gang would only occupy capacity. A gang that prefers one rack
 * is tried on each rack first. Slow workers get tasks only where others have no room.
 *
 * @param starts Receives the starts when the whole gang fits.
 * @param trialAccess Which tasks may start on workers that are on trial.
 * @returns Whether the demand is met: not when the gang doesn't fit, but also when not all of its tasks are waiting, or it
 *   waits for trusted workers, so that nothing is placed.
 */
export function planGang(
    demand: StepDemand,
    ledger: CapacityLedger,
    rankings: RankingCache,
    rules: StartRules,
    starts: PlannedStart[],
    trialAccess = TrialAccess.Telling,
): DemandOutcome {
    const { step, waiting } = demand;
    if (waiting.length < step.spec.taskCount || waiting.length === 0) {
        return { isMet: true, heldBackCount: 0 };
    }
    const allowed = ledger.workers.filter(worker => isAllowedOn(step, worker));
    const withRoom = allowed.filter(worker =>
        hasCapacity(worker, step.spec, isInterrupted(demand)) && isTrialAllowed(waiting[0], worker, trialAccess)
        && rules.isAdvised(waiting[0], worker.workerId)
        && rules.reservations?.checkStart(worker, demand, countMostThere(demand)) !== false
    );
    if (!isGangFitting(demand, withRoom)) {
        return { isMet: false, heldBackCount: 0 };
    }
    const requiredTrust = chooseRequiredTrust(demand, waiting[0], ledger.workers, rules);
    const usable = withRoom.filter(({ workerId }) =>
        (rules.estimateTrust?.(workerId) ?? requiredTrust) >= requiredTrust
    );
    if (!isGangFitting(demand, usable)) {
        return { isMet: true, heldBackCount: waiting.length };
    }
    const preferred = usable.filter(({ workerId }) => rules.isSlow?.(workerId) !== true);
    // Every member waits for the slowest one, so that workers that aren't slow go before the same rack.
    const chosen = isGangFitting(demand, preferred) ? preferred : usable;
    const racks = step.spec.sameRack ? [...new Set(allowed.map(worker => worker.rack))] : [];
    const rack = racks.find(each => isGangFitting(demand, chosen.filter(worker => worker.rack === each)));
    const ranking = rack === undefined
        ? rankings.resolve(demand, false)
        : rankings.createRanking(demand, false, worker => worker.rack === rack);
    const workers = { preferred: new Set(preferred), usable: new Set(chosen) };
    bindMembers(demand, ledger, ranking, workers, starts);
    return { isMet: true, heldBackCount: 0 };
}

/** The tasks of a gang are equal, so whether they fit doesn't depend on which task goes to which worker. */
function isGangFitting(demand: StepDemand, workers: readonly WorkerCapacity[]): boolean {
    let left = demand.waiting.length;
    return workers.some(worker => {
        left -= countFitting(worker, demand, left);
        return left <= 0;
    });
}

/** Counts the most tasks of a gang that may start on one worker. */
function countMostThere({ step, waiting }: StepDemand): number {
    const { maxTasksPerWorker } = step.spec;
    return maxTasksPerWorker === 0 ? waiting.length : Math.min(waiting.length, maxTasksPerWorker);
}

/** Counts how many tasks of a demand fit on a worker, up to `maxCount`. */
function countFitting(worker: WorkerCapacity, demand: StepDemand, maxCount: number): number {
    const { spec } = demand.step;
    const mayUseReserved = isInterrupted(demand);
    const limit = Math.min(maxCount, spec.maxTasksPerWorker === 0 ? maxCount : spec.maxTasksPerWorker);
    const remaining = { ...worker };
    let fitting = 0;
    while (fitting < limit && hasCapacity(remaining, spec, mayUseReserved)) {
        remaining.freeCpuMillis -= spec.isBestEffort ? 0 : spec.cpuMillis;
        remaining.freeMemoryMb -= spec.memoryMb;
        remaining.freeAccelerators -= spec.accelerators;
        remaining.startsLeft--;
        fitting++;
    }
    return fitting;
}

function bindMembers(
    demand: StepDemand,
    ledger: CapacityLedger,
    ranking: WorkerRanking,
    { preferred, usable }: GangWorkers,
    starts: PlannedStart[],
): void {
    const { step } = demand;
    const { maxTasksPerWorker } = step.spec;
    const perWorker = new Map<number, number>();
    let candidates = preferred;
    const eligible = new EligibleWorkers(ranking, ({ index }) => {
        const isFull = maxTasksPerWorker > 0 && (perWorker.get(index) ?? 0) >= maxTasksPerWorker;
        return !isFull && candidates.has(ledger.workers[index]);
    });
    for (const task of demand.waiting) {
        let best = eligible.removeBest();
        if (best === undefined && candidates !== usable) {
            candidates = usable;
            eligible.close();
            best = eligible.removeBest();
        }
        if (best === undefined) {
            throw new Error("A gang that was found to fit ran out of workers; isGangFitting and the ranking disagree.");
        }
        ledger.allocate(best.index, step);
        perWorker.set(best.index, (perWorker.get(best.index) ?? 0) + 1);
        starts.push({ task, workerId: ledger.workers[best.index].workerId });
    }
    eligible.close();
}
