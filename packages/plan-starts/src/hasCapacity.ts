import type { StepSpec } from "@sardinestage/describe-work";
import type { WorkerCapacity } from "./workerCapacity.js";

/**
 * Whether one task of a step fits into a worker's free capacity.
 *
 * @param mayUseReserved Whether the task may start on reserved workers too, as interrupted long-running tasks may.
 */
export function hasCapacity(worker: WorkerCapacity, spec: StepSpec, mayUseReserved: boolean): boolean {
    return worker.startsLeft > 0 && (!worker.isReserved || mayUseReserved)
        && (spec.isBestEffort || worker.freeCpuMillis >= spec.cpuMillis)
        && worker.freeMemoryMb >= spec.memoryMb
        && worker.freeAccelerators >= spec.accelerators;
}
