import type { StepRun } from "@sardinestage/track-jobs";
import { isAllowedOn } from "./isAllowedOn.js";
import type { WorkerRoom } from "./workerRoom.js";

/**
 * Keeps rooms for tasks that are away from those that they serve and found none: nothing else starts there until what
 * ends by itself has left enough. Answers a full fleet in which smaller tasks take each piece as it comes free, so that
 * a larger one never finds enough in one place.
 *
 * @param step Whose tasks wait.
 * @param count How many of its tasks wait.
 * @param rooms What the workers have left; those that are kept get no further start.
 */
export function reserveRooms(step: StepRun, count: number, rooms: readonly WorkerRoom[]): void {
    const { cpuMillis, memoryMb, accelerators } = step.spec;
    rooms.filter(room => room.startsLeft > 0 && isAllowedOn(step, room))
        .filter(room => room.freeCpuMillis + room.endingCpuMillis >= cpuMillis)
        .filter(room => room.freeMemoryMb >= memoryMb && room.freeAccelerators >= accelerators)
        .sort((left, right) => right.freeCpuMillis - left.freeCpuMillis)
        .slice(0, count)
        .forEach(room => room.startsLeft = 0);
}
