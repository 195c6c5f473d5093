import type { StepRun } from "@sardinestage/track-jobs";
import type { WorkerRoom } from "./workerRoom.js";

/**
 * Subtracts one task of a step from a worker's free capacity.
 *
 * @param headroom Expected headroom of a serving task without best-effort tasks; undefined while unknown.
 */
export function takeRoom(worker: WorkerRoom, step: StepRun, headroom?: number): void {
    const { spec } = step;
    if (spec.fillsLeftover) {
        worker.fillCpuMillis += spec.cpuMillis;
        worker.fillers.push(spec);
    }
    else {
        worker.freeCpuMillis -= spec.cpuMillis;
        worker.endingCpuMillis += spec.longRunning ? 0 : spec.cpuMillis;
    }
    worker.freeMemoryMb -= spec.memoryMb;
    worker.freeAccelerators -= spec.accelerators;
    if (spec.tailTargetMs > 0) {
        worker.servers.push({ step, headroom });
    }
    worker.startsLeft--;
}
