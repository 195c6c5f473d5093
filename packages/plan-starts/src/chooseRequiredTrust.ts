import type { Task } from "@sardinestage/track-jobs";
import { hasOneAttemptLeft } from "./hasOneAttemptLeft.js";
import { isAllowedOn } from "./isAllowedOn.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import type { WorkerCapacity } from "./workerCapacity.js";
import { WorkerTrust } from "./workerTrust.js";

/** A task starts anywhere when it can't wait longer than this, in milliseconds: the interval between idle rounds, twice. */
const MIN_SLACK_MS = 500;

/**
 * Chooses the least trust that a worker needs for a task to start there now. A task with one attempt left waits for a
 * proven worker as long as there is one and its job can still be of use. A queue with a single attempt in total only
 * avoids suspect workers, since its jobs couldn't all wait for the few workers that are proven after a takeover.
 */
export function chooseRequiredTrust(
    demand: StepDemand,
    task: Task,
    workers: readonly WorkerCapacity[],
    rules: StartRules,
): WorkerTrust {
    const { estimateTrust } = rules;
    if (estimateTrust === undefined || !hasOneAttemptLeft(task) || demand.lateSlackMs < MIN_SLACK_MS) {
        return WorkerTrust.Suspect;
    }
    const { step } = demand;
    const hasProven = step.occurrence.job.queue.maxAttempts > 1
        && workers.some(worker =>
            worker.capacityCpuMillis >= step.spec.cpuMillis && worker.workerId !== task.lastFailedWorkerId
            && isAllowedOn(step, worker) && estimateTrust(worker.workerId) === WorkerTrust.Proven
        );
    return hasProven ? WorkerTrust.Proven : WorkerTrust.Unknown;
}
