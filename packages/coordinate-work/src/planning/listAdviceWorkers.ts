import type { StepDemand, WorkerCapacity } from "@sardinestage/plan-starts";
import {
    countTasksPerWorker,
    hasCapacity,
    isAllowedOn,
    isInterrupted,
    isStepLimitReached,
} from "@sardinestage/plan-starts";
import type { AdviceWorker } from "./adviceWorker.js";
import type { StepAdvice } from "./stepAdvice.js";

/** The workers that may run a step, by what a ticket for them is worth now. */
interface ListedWorkers {
    /** The workers that a ticket is missing for, the most useful first. */
    readonly missing: readonly AdviceWorker[];
    /** Whether a task could start now on one of these. */
    readonly hasMissingRoom: boolean;
    /** Whether a task has both room and ticket on a worker, so that it waits for another reason. */
    readonly hasTicketedRoom: boolean;
}

/**
 * Lists the workers that a ticket for a step is missing for: first those with room, and of these first those that the
 * service has permitted before. Equal ones take turns.
 *
 * @param turn The number of the first of equal workers; different steps should ask about different ones.
 */
export function listAdviceWorkers(
    demand: StepDemand,
    advice: StepAdvice,
    capacities: readonly WorkerCapacity[],
    turn: number,
    nowMs: number,
): ListedWorkers {
    const { step } = demand;
    const groups: [AdviceWorker[], AdviceWorker[], AdviceWorker[], AdviceWorker[]] = [[], [], [], []];
    const perWorker = step.spec.maxTasksPerWorker > 0 ? countTasksPerWorker(step) : undefined;
    const mayUseReserved = isInterrupted(demand);
    let hasTicketedRoom = false;
    for (const worker of capacities) {
        const { workerId } = worker;
        if (!isAllowedOn(step, worker) || isStepLimitReached(step.spec, perWorker?.get(workerId))) {
            continue;
        }
        const hasRoom = hasCapacity(worker, step.spec, mayUseReserved);
        if (advice.isAdvised(workerId, nowMs)) {
            hasTicketedRoom ||= hasRoom;
        }
        else if (!advice.isRefused(workerId, nowMs)) {
            const group = groups[(hasRoom ? 0 : 2) + (advice.isPermitted(workerId) ? 0 : 1)];
            group.push({ workerId, room: hasRoom ? computeRoom(demand, worker) : 0 });
        }
    }
    return {
        missing: groups.flatMap(workers => listInTurn(workers, turn)),
        hasMissingRoom: groups[0].length + groups[1].length > 0,
        hasTicketedRoom,
    };
}

/** Computes for how many tasks of a step a worker has room, if it has room for one. */
function computeRoom({ step: { spec } }: StepDemand, worker: WorkerCapacity): number {
    const byCpu = spec.isBestEffort || spec.cpuMillis <= 0 ? Infinity : worker.freeCpuMillis / spec.cpuMillis;
    const byMemory = spec.memoryMb <= 0 ? Infinity : worker.freeMemoryMb / spec.memoryMb;
    const byStep = spec.maxTasksPerWorker > 0 ? spec.maxTasksPerWorker : Infinity;
    return Math.max(1, Math.floor(Math.min(worker.startsLeft, byCpu, byMemory, byStep)));
}

function listInTurn(workers: readonly AdviceWorker[], turn: number): readonly AdviceWorker[] {
    const start = workers.length === 0 ? 0 : turn % workers.length;
    return [...workers.slice(start), ...workers.slice(0, start)];
}
