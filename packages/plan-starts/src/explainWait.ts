import { countTasksPerWorker } from "./countTasksPerWorker.js";
import { hasCapacity } from "./hasCapacity.js";
import { isAllowedOn } from "./isAllowedOn.js";
import { isStepLimitReached } from "./isStepLimitReached.js";
import { listConditions } from "./listConditions.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import { WaitReason } from "./waitReason.js";
import type { WorkerCapacity } from "./workerCapacity.js";

const ROOM_REASONS: readonly WaitReason[] = [
    WaitReason.Accelerators,
    WaitReason.Memory,
    WaitReason.Processor,
    WaitReason.ReservedForOthers,
];

/**
 * Explains why a demand's tasks wait after a round.
 *
 * @param demand A demand that the round couldn't place as a whole.
 * @param workers The free capacity of the workers after the round.
 * @param rules The round's rules.
 * @param evacuated The free capacity of workers that get no start only because their failure domain is evacuated.
 */
export function explainWait(
    demand: StepDemand,
    workers: readonly WorkerCapacity[],
    rules: Pick<StartRules, "maxBestEffortWaitMs" | "isAdvised" | "describePlacement" | "reservations">,
    evacuated: readonly WorkerCapacity[] = [],
): WaitReason {
    const reason = findUnmetCondition(demand, workers, rules);
    if (reason === WaitReason.NextRound || reason === WaitReason.Advice) {
        return reason;
    }
    const { step } = demand;
    const perWorker = countTasksPerWorker(step);
    const hasRoom = evacuated.some(worker =>
        isAllowedOn(step, worker) && hasCapacity(worker, step.spec, false)
        && !isStepLimitReached(step.spec, perWorker.get(worker.workerId))
    );
    return hasRoom ? WaitReason.Evacuated : reason;
}

function findUnmetCondition(
    demand: StepDemand,
    workers: readonly WorkerCapacity[],
    rules: Pick<StartRules, "maxBestEffortWaitMs" | "isAdvised" | "describePlacement" | "reservations">,
): WaitReason {
    let candidates = workers;
    for (const [reason, isMet] of listConditions(demand, rules)) {
        candidates = candidates.filter(isMet);
        if (candidates.length === 0) {
            return isWaitingForRoom(reason) && rules.reservations?.has(demand.step) === true
                ? WaitReason.OwnReservation
                : reason;
        }
    }
    if (!demand.step.spec.gang) {
        return WaitReason.NextRound;
    }
    return rules.reservations?.has(demand.step) === true ? WaitReason.OwnReservation : WaitReason.Gang;
}

function isWaitingForRoom(reason: WaitReason): boolean {
    return ROOM_REASONS.includes(reason);
}
