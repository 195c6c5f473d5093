import type { StepRun } from "@sardinestage/track-jobs";
import type { CapacityLedger } from "./capacityLedger.js";
import { countTasksPerWorker } from "./countTasksPerWorker.js";
import { isAllowedOn } from "./isAllowedOn.js";
import { isInterrupted } from "./isInterrupted.js";
import { isStepLimitReached } from "./isStepLimitReached.js";
import type { PlannedStart } from "./plannedStart.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import type { WorkerRoom } from "./workerRoom.js";

/**
 * Keeps rooms for tasks that found none: nothing of lower standing starts there until there is enough. These are the
 * rooms that are made by stopping other work for them; and for tasks that are away from those that they serve also rooms
 * where what ends by itself leaves enough. Answers a full fleet in which smaller tasks take each piece as it comes free,
 * so that a larger one never finds enough in one place.
 *
 * @param demand Whose tasks wait.
 * @param placed What the round starts of its tasks; the others still wait.
 * @param ledger What the workers have left; those that are kept get no further start.
 * @param rules Limits of the round.
 */
export function reserveWorkers(
    demand: StepDemand,
    placed: readonly PlannedStart[],
    ledger: CapacityLedger,
    rules: StartRules,
): void {
    const promised = new Set(demand.promised);
    if (promised.size === 0 && !isInterrupted(demand)) {
        return;
    }
    const { workers: rooms } = ledger;
    const { step, waiting } = demand;
    const count = waiting.length - placed.length;
    const perWorker = countTasksPerWorker(step, placed.map(start => start.workerId));
    const open = rooms.map((_room, index) => index).filter(index =>
        rooms[index].startsLeft > 0 && !isStepLimitReached(step.spec, perWorker.get(rooms[index].workerId))
    );
    const kept = open.filter(index => promised.has(rooms[index].workerId)).slice(0, count);
    const keptIds = new Set(kept.map(index => rooms[index].workerId));
    const provided = (demand.promised ?? []).filter(workerId => keptIds.has(workerId)).length;
    if (isInterrupted(demand)) {
        const others = open.filter(index => !promised.has(rooms[index].workerId))
            .filter(index => isFittingLater(step, rooms[index]))
            .filter(index => rules.isAdvised(step.tasks[0], rooms[index].workerId))
            .sort((left, right) => rooms[right].freeCpuMillis - rooms[left].freeCpuMillis);
        kept.push(...others.slice(0, Math.max(0, count - provided)));
    }
    kept.forEach(index => ledger.reserve(index));
}

/** Whether a task of the step will fit there once what ends by itself has ended. */
function isFittingLater(step: StepRun, room: WorkerRoom): boolean {
    const { cpuMillis, memoryMb, accelerators } = step.spec;
    return isAllowedOn(step, room)
        && room.freeCpuMillis + room.endingCpuMillis >= cpuMillis
        && room.freeMemoryMb >= memoryMb && room.freeAccelerators >= accelerators;
}
