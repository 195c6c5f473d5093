import type { StepRun } from "@sardinestage/track-jobs";
import type { WorkerCapacity } from "./workerCapacity.js";

/**
 * Subtracts one task of a step from a worker's free capacity.
 *
 * @param headroom Expected headroom of a serving task without best-effort tasks; undefined while unknown.
 */
export function allocateCapacity(worker: WorkerCapacity, step: StepRun, headroom?: number): void {
    const { spec } = step;
    if (spec.isBestEffort) {
        worker.bestEffortCpuMillis += spec.cpuMillis;
        worker.bestEffortSpecs.push(spec);
    }
    else {
        worker.freeCpuMillis -= spec.cpuMillis;
        if (!spec.longRunning) {
            worker.runToCompletionCpuMillis += spec.cpuMillis;
            worker.runToCompletionWork += spec.cpuMillis * spec.estimateMs;
        }
    }
    worker.freeMemoryMb -= spec.memoryMb;
    worker.freeAccelerators -= spec.accelerators;
    if (spec.tailLatencyTargetMs > 0) {
        worker.servingTasks.push({ step, headroom });
    }
    worker.startsLeft--;
}
