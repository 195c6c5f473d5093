import type { StepRun } from "@sardinestage/track-jobs";
import type { WorkerRoom } from "./workerRoom.js";

/**
 * Takes one task's share from a worker's room.
 *
 * @param headroom Of a serving task: what it is expected to have without filling tasks; undefined while unknown.
 */
export function takeRoom(room: WorkerRoom, step: StepRun, headroom?: number): void {
    const { spec } = step;
    if (spec.fillsLeftover) {
        room.fillCpuMillis += spec.cpuMillis;
        room.fillers.push(spec);
    }
    else {
        room.freeCpuMillis -= spec.cpuMillis;
        room.endingCpuMillis += spec.longRunning ? 0 : spec.cpuMillis;
    }
    room.freeMemoryMb -= spec.memoryMb;
    room.freeAccelerators -= spec.accelerators;
    if (spec.tailTargetMs > 0) {
        room.servers.push({ step, headroom });
    }
    room.startsLeft--;
}
