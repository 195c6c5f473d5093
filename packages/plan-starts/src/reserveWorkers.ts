import type { StepRun } from "@sardinestage/track-jobs";
import type { CapacityLedger } from "./capacityLedger.js";
import { countTasksPerWorker } from "./countTasksPerWorker.js";
import { estimateFreeing } from "./estimateFreeing.js";
import { isAllowedOn } from "./isAllowedOn.js";
import { isInterrupted } from "./isInterrupted.js";
import { isOverdueFirstStart } from "./isOverdueFirstStart.js";
import { isStepLimitReached } from "./isStepLimitReached.js";
import type { PlannedStart } from "./plannedStart.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import type { WorkerCapacity } from "./workerCapacity.js";

/**
 * The share of the workers allowed for a task that may be reserved for tasks that have never run, so that short tasks
 * keep the others.
 */
const FIRST_START_SHARE = 1 / 16;
/** So many workers may be reserved in any case, so that several tasks start in time in a small service. */
const MIN_FIRST_START_WORKERS = 2;
/** The largest share of a small service's workers that may be reserved. */
const MAX_FIRST_START_SHARE = 1 / 2;

/**
 * Reserves workers for waiting tasks that didn't fit: no demand later in the start order starts there in this round.
 * Without reservations, smaller tasks would use each piece of capacity as it comes free on a full fleet, and a larger
 * task would never find enough on one worker.
 *
 * Reserved are the workers on which other tasks were preempted for the demand. For a long-running step that was
 * interrupted, or has waited long for its first start, also workers with enough capacity once their run-to-completion
 * tasks have ended, those first where that takes the shortest time. As it may take long, interrupted long-running tasks
 * still start there.
 *
 * @param demand The demand whose tasks wait.
 * @param placed Starts of the demand's tasks in this round; its other tasks still wait.
 * @param ledger Free capacity of the workers; the reserved ones get no further start.
 * @param rules Limits of the planning round.
 */
export function reserveWorkers(
    demand: StepDemand,
    placed: readonly PlannedStart[],
    ledger: CapacityLedger,
    rules: StartRules,
): void {
    const reservedIds = new Set(demand.reservedWorkerIds);
    const laterCount = countReservable(demand, ledger);
    if (reservedIds.size === 0 && laterCount === 0) {
        return;
    }
    const { workers } = ledger;
    const { step, waiting } = demand;
    const missingCount = waiting.length - placed.length;
    const perWorker = countTasksPerWorker(step, placed.map(start => start.workerId));
    const eligible = workers.map((_worker, index) => index).filter(index =>
        workers[index].startsLeft > 0 && workers[index].trial === undefined
        && (!workers[index].isReserved || isInterrupted(demand))
        && !isStepLimitReached(step.spec, perWorker.get(workers[index].workerId))
    );
    const chosen = eligible.filter(index => reservedIds.has(workers[index].workerId)).slice(0, missingCount);
    const chosenIds = new Set(chosen.map(index => workers[index].workerId));
    const coveredCount = (demand.reservedWorkerIds ?? []).filter(workerId => chosenIds.has(workerId)).length;
    if (laterCount > 0) {
        const others = eligible.filter(index => !reservedIds.has(workers[index].workerId) && !workers[index].isReserved)
            .filter(index => isFittingLater(step, workers[index]))
            .filter(index => rules.isAdvised(waiting[0], workers[index].workerId))
            .map(index => ({ index, freeingMs: estimateFreeing(workers[index], step.spec.cpuMillis) }))
            .sort((left, right) =>
                left.freeingMs - right.freeingMs
                || workers[right.index].freeCpuMillis - workers[left.index].freeCpuMillis
            );
        const otherCount = Math.min(laterCount, Math.max(0, missingCount - coveredCount));
        others.slice(0, otherCount).forEach(({ index }) => ledger.reserve(index));
    }
    chosen.forEach(index => ledger.close(index));
}

/** Counts the workers that may still be reserved for the demand until their present work ends. */
function countReservable(demand: StepDemand, ledger: CapacityLedger): number {
    if (isInterrupted(demand)) {
        return Infinity;
    }
    if (!isOverdueFirstStart(demand)) {
        return 0;
    }
    const allowed = ledger.workers.filter(worker => isAllowedOn(demand.step, worker));
    const reservedCount = allowed.filter(worker => worker.isReserved).length;
    const most = Math.max(1, Math.floor(allowed.length * MAX_FIRST_START_SHARE));
    const reservable = Math.max(MIN_FIRST_START_WORKERS, Math.ceil(allowed.length * FIRST_START_SHARE));
    return Math.max(0, Math.min(most, reservable) - reservedCount);
}

/** Whether a task of the step fits on a worker once the worker's run-to-completion tasks have ended. */
function isFittingLater(step: StepRun, worker: WorkerCapacity): boolean {
    const { cpuMillis, memoryMb, accelerators } = step.spec;
    return isAllowedOn(step, worker)
        && worker.freeCpuMillis + worker.runToCompletionCpuMillis >= cpuMillis
        && worker.freeMemoryMb >= memoryMb && worker.freeAccelerators >= accelerators;
}
