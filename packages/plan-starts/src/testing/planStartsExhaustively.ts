import type { Task } from "@sardinestage/track-jobs";
import { compareDemands } from "../compareDemands.js";
import { computePlacementScore } from "../computePlacementScore.js";
import { hasCapacity } from "../hasCapacity.js";
import { isAllowedOn } from "../isAllowedOn.js";
import { isInterrupted } from "../isInterrupted.js";
import type { PlannedStart } from "../plannedStart.js";
import type { StartPlan } from "../startPlan.js";
import type { StartRules } from "../startRules.js";
import type { StepDemand } from "../stepDemand.js";
import { takeRoom } from "../takeRoom.js";
import { UnplaceableDemands } from "../unplaceableDemands.js";
import type { WorkerRoom } from "../workerRoom.js";

const MAX_LATENCY_RATIO = 0.88;
const FAILED_THERE_PENALTY = 10;

/** The plain way to plan starts: judges every room again for every task. */
export function planStartsExhaustively(
    demands: readonly StepDemand[],
    rooms: readonly WorkerRoom[],
    rules: StartRules,
): StartPlan {
    const starts: PlannedStart[] = [];
    const unmet: StepDemand[] = [];
    const refused = new UnplaceableDemands(rules);
    for (const demand of [...demands].sort(compareDemands)) {
        if (starts.length >= rules.maxStarts) {
            break;
        }
        const before = starts.length;
        const isMet = !refused.has(demand) && planDemand(demand, rooms, rules, starts);
        if (!isMet) {
            refused.add(demand);
            unmet.push(demand);
            let left = demand.waiting.length - (starts.length - before);
            const open = listBelowLimit(demand, rooms, starts.slice(before));
            let most = left;
            for (const room of open) {
                const there = demand.promised?.filter(workerId => workerId === room.workerId).length ?? 0;
                if (most > 0 && room.startsLeft > 0 && there > 0) {
                    room.startsLeft = 0;
                    left -= there;
                    most--;
                }
            }
            const advised = open.filter(room => rules.isAdvised(demand.step.tasks[0], room.workerId));
            for (; left > 0 && isInterrupted(demand); left--) {
                reserveWorker(demand, advised);
            }
        }
    }
    return { starts, unmet };
}

/** The workers that may still get a task of a step that limits its tasks on one worker. */
function listBelowLimit(
    demand: StepDemand,
    rooms: readonly WorkerRoom[],
    placed: readonly PlannedStart[],
): WorkerRoom[] {
    const { maxTasksPerWorker } = demand.step.spec;
    const perWorker = countPerWorker(demand);
    placed.forEach(({ workerId }) => perWorker.set(workerId, (perWorker.get(workerId) ?? 0) + 1));
    return rooms.filter(room => maxTasksPerWorker === 0 || (perWorker.get(room.workerId) ?? 0) < maxTasksPerWorker);
}

/** Keeps the room with most processor among those where such a task fits once what ends there has ended. */
function reserveWorker(demand: StepDemand, rooms: readonly WorkerRoom[]): void {
    const { spec } = demand.step;
    let best: WorkerRoom | undefined;
    for (const room of rooms) {
        const isPromised = demand.promised?.includes(room.workerId) === true;
        const isBetter = !isPromised && (best === undefined || room.freeCpuMillis > best.freeCpuMillis);
        const later = { ...room, freeCpuMillis: room.freeCpuMillis + room.endingCpuMillis };
        const fitsLater = later.freeCpuMillis >= spec.cpuMillis
            && hasCapacity({ ...later, freeCpuMillis: Infinity }, spec);
        if (isBetter && fitsLater && isAllowedOn(demand.step, room)) {
            best = room;
        }
    }
    if (best !== undefined) {
        best.startsLeft = 0;
    }
}

function planDemand(
    demand: StepDemand,
    rooms: readonly WorkerRoom[],
    rules: StartRules,
    starts: PlannedStart[],
): boolean {
    return demand.step.spec.gang
        ? planGang(demand, rooms, rules, starts)
        : planTasks(demand, rooms, rules, starts);
}

function planTasks(
    demand: StepDemand,
    rooms: readonly WorkerRoom[],
    rules: StartRules,
    starts: PlannedStart[],
): boolean {
    const { step } = demand;
    const usable = rooms.filter(room => isAllowedOn(step, room));
    const perWorker = countPerWorker(demand);
    const mayWait = step.spec.fillsLeftover && demand.waitedMs < rules.longestWaitMs;
    for (const task of demand.waiting) {
        if (starts.length >= rules.maxStarts) {
            return true;
        }
        const room = chooseWorker(task, usable, perWorker, mayWait, rules);
        if (room === undefined) {
            return false;
        }
        takeRoom(room, step);
        perWorker.set(room.workerId, (perWorker.get(room.workerId) ?? 0) + 1);
        starts.push({ task, workerId: room.workerId });
    }
    return true;
}

function countPerWorker(demand: StepDemand): Map<string, number> {
    const counts = new Map<string, number>();
    for (const task of demand.step.tasks) {
        if (task.isActive) {
            counts.set(task.workerId, (counts.get(task.workerId) ?? 0) + 1);
        }
    }
    return counts;
}

function chooseWorker(
    task: Task,
    rooms: readonly WorkerRoom[],
    perWorker: ReadonlyMap<string, number>,
    mayWait: boolean,
    rules: StartRules,
): WorkerRoom | undefined {
    const { spec } = task.step;
    let best: WorkerRoom | undefined;
    let bestScore = -Infinity;
    for (const room of rooms) {
        const isFull = spec.maxTasksPerWorker > 0 && (perWorker.get(room.workerId) ?? 0) >= spec.maxTasksPerWorker;
        if (!hasCapacity(room, spec) || isFull || !rules.isAdvised(task, room.workerId)) {
            continue;
        }
        const view = rules.describePlace(room, spec);
        if (mayWait && view.strain > MAX_LATENCY_RATIO) {
            continue;
        }
        const failed = room.workerId === task.lastFailedOn ? FAILED_THERE_PENALTY : 0;
        const score = computePlacementScore(room, spec, view) - failed;
        if (score > bestScore) {
            best = room;
            bestScore = score;
        }
    }
    return best;
}

function planGang(
    demand: StepDemand,
    rooms: readonly WorkerRoom[],
    rules: StartRules,
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

interface PlacedTask {
    readonly task: Task;
    readonly room: WorkerRoom;
}

function tryPlacing(demand: StepDemand, rooms: readonly WorkerRoom[], rules: StartRules): PlacedTask[] | undefined {
    const { spec } = demand.step;
    const copies = rooms.map(room => ({
        room,
        copy: { ...room, servers: [...room.servers], fillers: [...room.fillers] },
        taken: 0,
    }));
    const placed: PlacedTask[] = [];
    const score = (room: WorkerRoom) => computePlacementScore(room, spec, rules.describePlace(room, spec));
    for (const task of demand.waiting) {
        const best = copies
            .filter(entry => hasCapacity(entry.copy, spec))
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
