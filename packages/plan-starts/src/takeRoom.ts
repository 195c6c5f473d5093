import type { StepSpec } from "@sardinestage/describe-work";
import type { WorkerRoom } from "./workerRoom.js";

/** Takes one task's share from a worker's room. */
export function takeRoom(room: WorkerRoom, spec: StepSpec): void {
    if (spec.fillsLeftover) {
        room.fillCpuMillis += spec.cpuMillis;
        room.fillers.push(spec);
    }
    else {
        room.freeCpuMillis -= spec.cpuMillis;
    }
    room.freeMemoryMb -= spec.memoryMb;
    room.freeAccelerators -= spec.accelerators;
    if (spec.tailTargetMs > 0) {
        room.servers.push({ spec, headroom: undefined });
    }
    room.startsLeft--;
}
