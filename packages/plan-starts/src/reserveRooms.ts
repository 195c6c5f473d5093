import type { StepRun } from "@sardinestage/track-jobs";
import { isAllowedOn } from "./isAllowedOn.js";
import { isInterrupted } from "./isInterrupted.js";
import type { RoomLedger } from "./roomLedger.js";
import type { StepDemand } from "./stepDemand.js";
import type { WorkerRoom } from "./workerRoom.js";

/**
 * Keeps rooms for tasks that found none: nothing of lower standing starts there until there is enough. These are the
 * rooms that are made by stopping other work for them; and for tasks that are away from those that they serve also rooms
 * where what ends by itself leaves enough. Answers a full fleet in which smaller tasks take each piece as it comes free,
 * so that a larger one never finds enough in one place.
 *
 * @param demand Whose tasks wait.
 * @param count How many of its tasks wait.
 * @param ledger What the workers have left; those that are kept get no further start.
 */
export function reserveRooms(demand: StepDemand, count: number, ledger: RoomLedger): void {
    const { rooms } = ledger;
    const open = rooms.map((_room, index) => index).filter(index => rooms[index].startsLeft > 0);
    const promised = new Set(demand.promised);
    const kept = open.filter(index => promised.has(rooms[index].workerId)).slice(0, count);
    if (isInterrupted(demand)) {
        const others = open.filter(index => !promised.has(rooms[index].workerId))
            .filter(index => isPromising(demand.step, rooms[index]))
            .sort((left, right) => rooms[right].freeCpuMillis - rooms[left].freeCpuMillis);
        kept.push(...others.slice(0, count - kept.length));
    }
    kept.forEach(index => ledger.reserve(index));
}

/** Whether a task of the step will fit there once what ends by itself has ended. */
function isPromising(step: StepRun, room: WorkerRoom): boolean {
    const { cpuMillis, memoryMb, accelerators } = step.spec;
    return isAllowedOn(step, room)
        && room.freeCpuMillis + room.endingCpuMillis >= cpuMillis
        && room.freeMemoryMb >= memoryMb && room.freeAccelerators >= accelerators;
}
