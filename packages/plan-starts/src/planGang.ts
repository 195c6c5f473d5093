import type { StepRun, Task } from "@sardinestage/track-jobs";
import { computePlaceScore } from "./computePlaceScore.js";
import { hasRoom } from "./hasRoom.js";
import { isAllowedOn } from "./isAllowedOn.js";
import type { PlaceView } from "./placeView.js";
import type { PlannedStart } from "./plannedStart.js";
import type { StepDemand } from "./stepDemand.js";
import { takeRoom } from "./takeRoom.js";
import type { WorkerRoom } from "./workerRoom.js";

/** What the placing of a gang takes into account. */
interface GangRules {
    readonly isAdvised: (task: Task, workerId: string) => boolean;
    readonly describePlace: (room: WorkerRoom, step: StepRun) => PlaceView;
}

/**
 * Places all tasks of a gang, or none: part of a gang would only hold room. A gang that is faster in one rack is
 * tried rack by rack first.
 *
 * @param starts Takes the starts when the whole gang found room.
 * @returns Whether it did.
 */
export function planGang(
    demand: StepDemand,
    rooms: readonly WorkerRoom[],
    rules: GangRules,
    starts: PlannedStart[],
): boolean {
    const { step } = demand;
    if (demand.waiting.length < step.tasks.length) {
        return true;
    }
    const usable = rooms.filter(room => isAllowedOn(step, room));
    const racks = step.spec.sameRack ? [...new Set(usable.map(room => room.rack))] : [];
    const candidates = [...racks.map(rack => usable.filter(room => room.rack === rack)), usable];
    for (const candidate of candidates) {
        const found = tryPlacing(demand, candidate, rules);
        if (found !== undefined) {
            for (const start of found) {
                takeRoom(start.room, step);
                starts.push({ task: start.task, workerId: start.room.workerId });
            }
            return true;
        }
    }
    return false;
}

/** A member of a gang and where it would go. */
interface Placed {
    readonly task: Task;
    readonly room: WorkerRoom;
}

function tryPlacing(
    demand: StepDemand,
    rooms: readonly WorkerRoom[],
    rules: GangRules,
): Placed[] | undefined {
    const { spec } = demand.step;
    const copies = rooms.map(room => ({
        room,
        copy: { ...room, servers: [...room.servers], fillers: [...room.fillers] },
        taken: 0,
    }));
    const placed: Placed[] = [];
    const score = (room: WorkerRoom) => computePlaceScore(room, spec, rules.describePlace(room, demand.step));
    for (const task of demand.waiting) {
        const best = copies
            .filter(entry => hasRoom(entry.copy, spec))
            .filter(entry => spec.maxTasksPerWorker === 0 || entry.taken < spec.maxTasksPerWorker)
            .filter(entry => rules.isAdvised(task, entry.room.workerId))
            .sort((left, right) => score(right.copy) - score(left.copy))
            .at(0);
        if (best === undefined) {
            return undefined;
        }
        takeRoom(best.copy, demand.step);
        best.taken++;
        placed.push({ task, room: best.room });
    }
    return placed;
}
