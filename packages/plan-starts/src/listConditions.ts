import { countTasksPerWorker } from "./countTasksPerWorker.js";
import { isAllowedOn } from "./isAllowedOn.js";
import { isDeferrable } from "./isDeferrable.js";
import { isInterrupted } from "./isInterrupted.js";
import { isStepLimitReached } from "./isStepLimitReached.js";
import { MAX_LATENCY_RATIO } from "./maxLatencyRatio.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import { WaitReason } from "./waitReason.js";
import type { WorkerCapacity } from "./workerCapacity.js";

/** A condition that a worker has to meet, and the reason to wait if no worker does. */
type Condition = readonly [reason: WaitReason, isMet: (worker: WorkerCapacity) => boolean];

/** Lists the conditions that a worker has to meet to get a task of a demand, in the order in which they are explained. */
export function listConditions(
    demand: StepDemand,
    rules: Pick<StartRules, "maxBestEffortWaitMs" | "isAdvised" | "describePlacement" | "reservations">,
): readonly Condition[] {
    const { step, waiting } = demand;
    const { spec } = step;
    const perWorker = countTasksPerWorker(step);
    const canWait = isDeferrable(demand, rules);
    const mayUseReserved = isInterrupted(demand);
    return [
        [WaitReason.NotAllowed, worker => isAllowedOn(step, worker)],
        [WaitReason.WorkersUnusable, worker => worker.startsLeft > 0 && (!worker.isReserved || mayUseReserved)],
        [WaitReason.Accelerators, worker => worker.freeAccelerators >= spec.accelerators],
        [WaitReason.Memory, worker => worker.freeMemoryMb >= spec.memoryMb],
        [WaitReason.Processor, worker => spec.isBestEffort || worker.freeCpuMillis >= spec.cpuMillis],
        [WaitReason.ReservedForOthers, worker => rules.reservations?.checkStart(worker, demand) !== false],
        [WaitReason.StepLimit, worker => !isStepLimitReached(spec, perWorker.get(worker.workerId))],
        [WaitReason.Advice, worker => rules.isAdvised(waiting[0], worker.workerId)],
        [
            WaitReason.Headroom,
            worker => !canWait || rules.describePlacement(worker, spec).latencyRatio <= MAX_LATENCY_RATIO,
        ],
    ];
}
