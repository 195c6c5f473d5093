import type { WorkerCapacity } from "@sardinestage/plan-starts";
import { allocateCapacity } from "@sardinestage/plan-starts";
import type { Task } from "@sardinestage/track-jobs";
import { computeTrialState } from "../workers/computeTrialState.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import { WorkerAhead } from "./workerAhead.js";

/**
 * Computes the free capacity of a worker from its entry and its tasks.
 *
 * @param worker The worker.
 * @param startsLeft How many starts the worker may get now.
 * @param estimateHeadroom Estimates a serving task's headroom without best-effort tasks; undefined while unknown.
 * @param estimateEnd Estimates when a task ends, in steady milliseconds; left out if capacity isn't planned ahead.
 */
export function buildWorkerCapacity(
    worker: TrackedWorker,
    startsLeft: number,
    estimateHeadroom: (task: Task) => number | undefined,
    estimateEnd?: (task: Task) => number,
): WorkerCapacity {
    const { entry } = worker;
    const capacity: WorkerCapacity = {
        workerId: entry.id,
        service: entry.service,
        rack: entry.rack,
        labels: entry.labels,
        capacityCpuMillis: entry.capacity.cpuMillis,
        freeCpuMillis: entry.capacity.cpuMillis,
        runToCompletionCpuMillis: 0,
        runToCompletionWork: 0,
        freeMemoryMb: entry.capacity.memoryMb,
        freeAccelerators: entry.capacity.accelerators,
        bestEffortCpuMillis: 0,
        servingTasks: [],
        bestEffortSpecs: [],
        startsLeft,
        isReserved: false,
        trial: computeTrialState(worker),
        ...estimateEnd === undefined ? {} : { ahead: new WorkerAhead(worker, estimateEnd) },
    };
    for (const task of worker.tasks) {
        allocateCapacity(capacity, task.step, estimateHeadroom(task));
    }
    capacity.startsLeft = startsLeft;
    return capacity;
}
