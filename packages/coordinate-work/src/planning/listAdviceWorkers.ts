import type { StepDemand, WorkerCapacity } from "@sardinestage/plan-starts";
import {
    countTasksPerWorker,
    hasCapacity,
    isAllowedOn,
    isInterrupted,
    isStepLimitReached,
} from "@sardinestage/plan-starts";
import type { StepAdvice } from "./stepAdvice.js";

/** The workers that may run a step, by what a ticket for them is worth now. */
interface RankedWorkers {
    /** The ids of the workers that a ticket is missing for, the most useful first. */
    readonly missingIds: readonly string[];
    /** Whether a task could start now on one of these. */
    readonly hasMissingRoom: boolean;
    /** Whether a task has both room and ticket on a worker, so that it waits for another reason. */
    readonly hasTicketedRoom: boolean;
}

/**
 * Ranks the workers that a ticket for a step is missing for: first those with room, and of these first those that the
 * service has permitted before. Equal ones take turns.
 */
export function listAdviceWorkers(
    demand: StepDemand,
    advice: StepAdvice,
    capacities: readonly WorkerCapacity[],
    nowMs: number,
): RankedWorkers {
    const { step } = demand;
    const groups: [string[], string[], string[], string[]] = [[], [], [], []];
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
            groups[(hasRoom ? 0 : 2) + (advice.isPermitted(workerId) ? 0 : 1)].push(workerId);
        }
    }
    return {
        missingIds: groups.flatMap(ids => listInTurn(ids, advice.namedCount)),
        hasMissingRoom: groups[0].length + groups[1].length > 0,
        hasTicketedRoom,
    };
}

function listInTurn(ids: readonly string[], by: number): readonly string[] {
    const start = ids.length === 0 ? 0 : by % ids.length;
    return [...ids.slice(start), ...ids.slice(0, start)];
}
