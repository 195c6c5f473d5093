import type { StepSpec } from "@sardinestage/describe-work";
import type { WorkerRoom } from "./workerRoom.js";

/** Takes one task's share from a worker's room. */
export function takeRoom(room: WorkerRoom, spec: StepSpec): void {
    if (spec.fillsLeftover) {
        room.fillCpuMillis += spec.cpuMillis;
    }
    else {
        room.freeCpuMillis -= spec.cpuMillis;
    }
    room.freeMemoryMb -= spec.memoryMb;
    room.freeAccelerators -= spec.accelerators;
    room.servingTasks += spec.tailTargetMs > 0 ? 1 : 0;
    room.startsLeft--;
}
