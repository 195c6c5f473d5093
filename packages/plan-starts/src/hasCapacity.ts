import type { StepSpec } from "@sardinestage/describe-work";
import type { WorkerRoom } from "./workerRoom.js";

/** Whether one task of a step fits into what a worker has left. */
export function hasCapacity(room: WorkerRoom, spec: StepSpec): boolean {
    return room.startsLeft > 0
        && (spec.fillsLeftover || room.freeCpuMillis >= spec.cpuMillis)
        && room.freeMemoryMb >= spec.memoryMb
        && room.freeAccelerators >= spec.accelerators;
}
