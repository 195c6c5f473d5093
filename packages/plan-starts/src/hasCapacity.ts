import type { StepSpec } from "@sardinestage/describe-work";
import type { WorkerCapacity } from "./workerCapacity.js";

/** Whether one task of a step fits into a worker's free capacity. */
export function hasCapacity(worker: WorkerCapacity, spec: StepSpec): boolean {
    return worker.startsLeft > 0 && !worker.isReserved
        && (spec.isBestEffort || worker.freeCpuMillis >= spec.cpuMillis)
        && worker.freeMemoryMb >= spec.memoryMb
        && worker.freeAccelerators >= spec.accelerators;
}
