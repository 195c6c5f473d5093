import type { StepSpec } from "@sardinestage/describe-work";
import type { StartRules, StepDemand, WorkerCapacity } from "@sardinestage/plan-starts";
import { describeSpeed } from "./describeSpeed.js";

const MILLIS_PER_CORE = 1000;

/**
 * Describes in words what speaks for or against a worker that was chosen for a step.
 *
 * @param worker The worker's free capacity before the step's tasks are placed there.
 * @param demand The demand of the step.
 * @param rules The rules of the plan.
 */
export function describeChoice(worker: WorkerCapacity, demand: StepDemand, rules: StartRules): readonly string[] {
    const { spec } = demand.step;
    const { latencyRatio } = rules.describePlacement(worker, spec);
    const hasReservations = (worker.ahead?.reservations.length ?? 0) > 0;
    const reasons: readonly (string | false)[] = [
        `${worker.freeCpuMillis / MILLIS_PER_CORE} cores and ${worker.freeMemoryMb} MB free there`,
        spec.accelerators > 0 && `${worker.freeAccelerators} accelerators free there`,
        spec.requiredLabel !== "" && `has the label ${spec.requiredLabel}`,
        spec.preferredRack !== "" && worker.labels.includes(spec.preferredRack)
        && `in the preferred rack ${spec.preferredRack}`,
        spec.preferredRack !== "" && !worker.labels.includes(spec.preferredRack)
        && `outside the preferred rack ${spec.preferredRack}, as no better worker has room`,
        spec.tailLatencyTargetMs > 0 && `packed with ${worker.servingTasks.length} serving tasks`,
        latencyRatio > 0
        && `serving tasks expected at up to ${Math.round(latencyRatio * 100)}% of their latency targets`,
        describeScore(spec, rules),
        hasReservations && "reserved starts of other tasks there aren't delayed",
        worker.isReserved && "reserved in the last round for waiting tasks, which an interrupted task may use",
        worker.startsLeft === 1 && "one start left, as on a worker on trial",
        rules.isSlow?.(worker.workerId) === true && "slower than expected, as no other worker has room",
        ...describeSpeed(worker.workerId, demand, rules),
    ];
    return reasons.filter(reason => reason !== false);
}

function describeScore(spec: StepSpec, rules: StartRules): string | false {
    if (spec.isBestEffort) {
        return "much processor unused by other tasks";
    }
    if (rules.computeScore !== undefined) {
        return "leaves the smallest usable remainder";
    }
    return spec.tailLatencyTargetMs === 0 && "takes the least processor from other tasks";
}
