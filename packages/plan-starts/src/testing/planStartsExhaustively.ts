import type { Task } from "@sardinestage/track-jobs";
import { allocateCapacity } from "../allocateCapacity.js";
import { compareDemands } from "../compareDemands.js";
import { computePlacementScore } from "../computePlacementScore.js";
import { computeSpeedPenalty } from "../computeSpeedPenalty.js";
import { hasCapacity } from "../hasCapacity.js";
import { hasLittleSlack } from "../hasLittleSlack.js";
import { isAllowedOn } from "../isAllowedOn.js";
import { isInterrupted } from "../isInterrupted.js";
import { isOverdueFirstStart } from "../isOverdueFirstStart.js";
import type { PlannedStart } from "../plannedStart.js";
import type { StartPlan } from "../startPlan.js";
import type { StartRules } from "../startRules.js";
import type { StepDemand } from "../stepDemand.js";
import { UnplaceableDemands } from "../unplaceableDemands.js";
import type { WorkerCapacity } from "../workerCapacity.js";

const MAX_LATENCY_RATIO = 0.88;
const FAILED_WORKER_PENALTY = 10;
const RESERVED_WORKER_PENALTY = 5;
/** One of this many workers, rounded up, may be reserved for tasks that have never run. */
const WORKERS_PER_FIRST_START = 16;

/** Reference implementation of `planStarts`: scores every worker again for every task. */
export function planStartsExhaustively(
    demands: readonly StepDemand[],
    workers: readonly WorkerCapacity[],
    rules: StartRules,
): StartPlan {
    const starts: PlannedStart[] = [];
    const unmet: StepDemand[] = [];
    const unplaceable = new UnplaceableDemands(rules);
    for (const demand of [...demands].sort(compareDemands)) {
        if (starts.length >= rules.maxStarts) {
            break;
        }
        const before = starts.length;
        const isMet = !unplaceable.has(demand) && planDemand(demand, workers, rules, starts);
        if (!isMet) {
            unplaceable.add(demand);
            unmet.push(demand);
            let left = demand.waiting.length - (starts.length - before);
            const eligible = listBelowLimit(demand, workers, starts.slice(before));
            let remainingWorkers = left;
            for (const worker of eligible) {
                const reservedCount = demand.reservedWorkerIds?.filter(workerId => workerId === worker.workerId).length
                    ?? 0;
                const isOpen = worker.startsLeft > 0 && (!worker.isReserved || isInterrupted(demand));
                if (remainingWorkers > 0 && isOpen && reservedCount > 0) {
                    worker.startsLeft = 0;
                    left -= reservedCount;
                    remainingWorkers--;
                }
            }
            const advised = eligible.filter(worker => rules.isAdvised(demand.step.tasks[0], worker.workerId));
            for (; left > 0 && isReservable(demand, workers); left--) {
                reserveWorker(demand, advised);
            }
        }
    }
    // The random fleets have no trust, so that no demand is held back.
    return { starts, unmet, heldBack: [] };
}

/** Whether one more worker may be reserved for a demand until its present work ends. */
function isReservable(demand: StepDemand, workers: readonly WorkerCapacity[]): boolean {
    const allowed = workers.filter(worker => isAllowedOn(demand.step, worker));
    const reservedCount = allowed.filter(worker => worker.isReserved).length;
    const share = Math.ceil(allowed.length / WORKERS_PER_FIRST_START);
    // At least two, but no more than half of a small service.
    const limit = Math.min(Math.max(2, share), Math.max(1, Math.floor(allowed.length / 2)));
    return isInterrupted(demand) || (isOverdueFirstStart(demand) && reservedCount < limit);
}

/** Lists the workers on which a step is below its limit of tasks per worker. */
function listBelowLimit(
    demand: StepDemand,
    workers: readonly WorkerCapacity[],
    placed: readonly PlannedStart[],
): WorkerCapacity[] {
    const { maxTasksPerWorker } = demand.step.spec;
    const perWorker = countTasksPerWorker(demand);
    placed.forEach(({ workerId }) => perWorker.set(workerId, (perWorker.get(workerId) ?? 0) + 1));
    return workers.filter(worker =>
        maxTasksPerWorker === 0 || (perWorker.get(worker.workerId) ?? 0) < maxTasksPerWorker
    );
}

/** Reserves the worker that has the CPU for a task soonest; of equal ones the one with the most free CPU. */
function reserveWorker(demand: StepDemand, workers: readonly WorkerCapacity[]): void {
    const { spec } = demand.step;
    let best: WorkerCapacity | undefined;
    for (const worker of workers) {
        const isReserved = demand.reservedWorkerIds?.includes(worker.workerId) === true;
        const isBetter = !isReserved && (best === undefined || compareFreeing(worker, best, spec.cpuMillis) < 0);
        const expected = { ...worker, freeCpuMillis: worker.freeCpuMillis + worker.runToCompletionCpuMillis };
        const fitsLater = expected.freeCpuMillis >= spec.cpuMillis
            && hasCapacity({ ...expected, freeCpuMillis: Infinity }, spec, false);
        if (isBetter && fitsLater && isAllowedOn(demand.step, worker)) {
            best = worker;
        }
    }
    if (best !== undefined) {
        best.isReserved = true;
    }
}

function compareFreeing(left: WorkerCapacity, right: WorkerCapacity, cpuMillis: number): number {
    const [leftMs, rightMs] = [left, right].map(worker => {
        const missing = cpuMillis - worker.freeCpuMillis;
        return missing > 0 ? missing * worker.runToCompletionWork / worker.runToCompletionCpuMillis ** 2 : 0;
    });
    return leftMs - rightMs || right.freeCpuMillis - left.freeCpuMillis;
}

function planDemand(
    demand: StepDemand,
    workers: readonly WorkerCapacity[],
    rules: StartRules,
    starts: PlannedStart[],
): boolean {
    return demand.step.spec.gang
        ? planGang(demand, workers, rules, starts)
        : planTasks(demand, workers, rules, starts);
}

function planTasks(
    demand: StepDemand,
    workers: readonly WorkerCapacity[],
    rules: StartRules,
    starts: PlannedStart[],
): boolean {
    const { step } = demand;
    const usable = workers.filter(worker => isAllowedOn(step, worker));
    const perWorker = countTasksPerWorker(demand);
    const canWait = step.spec.isBestEffort && demand.waitedMs < rules.maxBestEffortWaitMs;
    for (const task of demand.waiting) {
        if (starts.length >= rules.maxStarts) {
            return true;
        }
        const worker = chooseWorker(task, demand, usable, perWorker, canWait, rules);
        if (worker === undefined) {
            return false;
        }
        allocateCapacity(worker, step);
        perWorker.set(worker.workerId, (perWorker.get(worker.workerId) ?? 0) + 1);
        starts.push({ task, workerId: worker.workerId });
    }
    return true;
}

function countTasksPerWorker(demand: StepDemand): Map<string, number> {
    const counts = new Map<string, number>();
    for (const task of demand.step.tasks) {
        if (task.isActive) {
            counts.set(task.workerId, (counts.get(task.workerId) ?? 0) + 1);
        }
    }
    return counts;
}

function chooseWorker(
    task: Task,
    demand: StepDemand,
    workers: readonly WorkerCapacity[],
    perWorker: ReadonlyMap<string, number>,
    canWait: boolean,
    rules: StartRules,
): WorkerCapacity | undefined {
    const mayUseReserved = isInterrupted(demand);
    const { spec } = task.step;
    let best: WorkerCapacity | undefined;
    let bestScore = -Infinity;
    for (const worker of workers) {
        const isFull = spec.maxTasksPerWorker > 0 && (perWorker.get(worker.workerId) ?? 0) >= spec.maxTasksPerWorker;
        if (!hasCapacity(worker, spec, mayUseReserved) || isFull || !rules.isAdvised(task, worker.workerId)) {
            continue;
        }
        const view = rules.describePlacement(worker, spec);
        if (canWait && view.latencyRatio > MAX_LATENCY_RATIO) {
            continue;
        }
        const reserved = worker.isReserved ? RESERVED_WORKER_PENALTY : 0;
        const failed = worker.workerId === task.lastFailedWorkerId ? FAILED_WORKER_PENALTY : 0;
        const score = (rules.computeScore ?? computePlacementScore)(worker, spec, view) - failed - reserved
            - computeSlowPenalty(demand, worker, rules);
        if (score > bestScore) {
            best = worker;
            bestScore = score;
        }
    }
    return best;
}

function computeSlowPenalty(demand: StepDemand, { workerId }: WorkerCapacity, rules: StartRules): number {
    const uneven = hasLittleSlack(demand, rules) ? rules.speeds?.uneven.get(workerId) : undefined;
    return uneven === undefined ? 0 : computeSpeedPenalty(uneven, demand.step.spec);
}

function planGang(
    demand: StepDemand,
    workers: readonly WorkerCapacity[],
    rules: StartRules,
    starts: PlannedStart[],
): boolean {
    const { step } = demand;
    if (demand.waiting.length < step.tasks.length) {
        return true;
    }
    const usable = workers.filter(worker => isAllowedOn(step, worker));
    const racks = step.spec.sameRack ? [...new Set(usable.map(worker => worker.rack))] : [];
    const candidates = [...racks.map(rack => usable.filter(worker => worker.rack === rack)), usable];
    for (const candidate of candidates) {
        const found = tryPlacing(demand, candidate, rules);
        if (found !== undefined) {
            for (const start of found) {
                allocateCapacity(start.worker, step);
                starts.push({ task: start.task, workerId: start.worker.workerId });
            }
            return true;
        }
    }
    return false;
}

interface PlacedTask {
    readonly task: Task;
    readonly worker: WorkerCapacity;
}

function tryPlacing(
    demand: StepDemand,
    workers: readonly WorkerCapacity[],
    rules: StartRules,
): PlacedTask[] | undefined {
    const { spec } = demand.step;
    const copies = workers.map(worker => ({
        worker,
        copy: { ...worker, servingTasks: [...worker.servingTasks], bestEffortSpecs: [...worker.bestEffortSpecs] },
        taken: 0,
    }));
    const placed: PlacedTask[] = [];
    const score = (worker: WorkerCapacity) =>
        (rules.computeScore ?? computePlacementScore)(worker, spec, rules.describePlacement(worker, spec))
        - (worker.isReserved ? RESERVED_WORKER_PENALTY : 0)
        - computeSlowPenalty(demand, worker, rules);
    for (const task of demand.waiting) {
        const best = copies
            .filter(entry => hasCapacity(entry.copy, spec, isInterrupted(demand)))
            .filter(entry => spec.maxTasksPerWorker === 0 || entry.taken < spec.maxTasksPerWorker)
            .filter(entry => rules.isAdvised(task, entry.worker.workerId))
            .sort((left, right) => score(right.copy) - score(left.copy))
            .at(0);
        if (best === undefined) {
            return undefined;
        }
        allocateCapacity(best.copy, demand.step);
        best.taken++;
        placed.push({ task, worker: best.worker });
    }
    return placed;
}
