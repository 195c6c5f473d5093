import type { StepRun } from "@sardinestage/track-jobs";
import { isAllowedOn } from "./isAllowedOn.js";
import type { RoomLedger } from "./roomLedger.js";
import type { WorkerRoom } from "./workerRoom.js";

/**
 * Keeps rooms for tasks that are away from those that they serve and found none: nothing else starts there until what
 * ends by itself has left enough. Answers a full fleet in which smaller tasks take each piece as it comes free, so that
 * a larger one never finds enough in one place.
 *
 * @param step Whose tasks wait.
 * @param count How many of its tasks wait.
 * @param ledger What the workers have left; those that are kept get no further start.
 */
export function reserveRooms(step: StepRun, count: number, ledger: RoomLedger): void {
    const { rooms } = ledger;
    rooms.map((_room, index) => index)
        .filter(index => isPromising(step, rooms[index]))
        .sort((left, right) => rooms[right].freeCpuMillis - rooms[left].freeCpuMillis)
        .slice(0, count)
        .forEach(index => ledger.reserve(index));
}

/** Whether a task of the step will fit there once what ends by itself has ended. */
function isPromising(step: StepRun, room: WorkerRoom): boolean {
    const { cpuMillis, memoryMb, accelerators } = step.spec;
    return room.startsLeft > 0 && isAllowedOn(step, room)
        && room.freeCpuMillis + room.endingCpuMillis >= cpuMillis
        && room.freeMemoryMb >= memoryMb && room.freeAccelerators >= accelerators;
}
