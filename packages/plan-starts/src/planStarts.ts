import type { StepRun, Task } from "@sardinestage/track-jobs";
import { compareDemands } from "./compareDemands.js";
import { computePlaceScore } from "./computePlaceScore.js";
import { hasRoom } from "./hasRoom.js";
import { isAllowedOn } from "./isAllowedOn.js";
import { isInterrupted } from "./isInterrupted.js";
import type { PlaceView } from "./placeView.js";
import { planGang } from "./planGang.js";
import type { PlannedStart } from "./plannedStart.js";
import { RefusedShapes } from "./refusedShapes.js";
import { reserveRooms } from "./reserveRooms.js";
import type { StartPlan } from "./startPlan.js";
import type { StepDemand } from "./stepDemand.js";
import { takeRoom } from "./takeRoom.js";
import type { WorkerRoom } from "./workerRoom.js";

/** A filling task rather waits than goes where serving tasks would miss their targets. */
const MOST_STRAIN = 0.88;
/** A worker on which the task has failed is the last choice. */
const FAILED_THERE_PENALTY = 10;

/** What a round may not do. */
interface StartRules {
    /** At most so many starts in one round; the next round follows at once. */
    readonly maxStarts: number;
    /** How long a filling task waits for a place where serving tasks don't suffer, in milliseconds. */
    readonly longestWaitMs: number;
    /** Whether the advice service, where the queue has one, lets the task run there. */
    readonly isAdvised: (task: Task, workerId: string) => boolean;
    /** What is known of a task of a step beside those that a worker has. */
    readonly describePlace: (room: WorkerRoom, step: StepRun) => PlaceView;
}

/**
 * Decides which waiting tasks start on which workers.
 *
 * @param demands What waits.
 * @param rooms What the workers have left; the plan is taken from it.
 * @param rules Limits of the round.
 */
export function planStarts(
    demands: readonly StepDemand[],
    rooms: readonly WorkerRoom[],
    rules: StartRules,
): StartPlan {
    const starts: PlannedStart[] = [];
    const unmet: StepDemand[] = [];
    const refused = new RefusedShapes();
    for (const demand of [...demands].sort(compareDemands)) {
        if (starts.length >= rules.maxStarts) {
            break;
        }
        const before = starts.length;
        const isMet = !refused.has(demand) && planDemand(demand, rooms, rules, starts);
        if (!isMet) {
            refused.add(demand);
            unmet.push(demand);
            if (isInterrupted(demand)) {
                reserveRooms(demand.step, demand.waiting.length - (starts.length - before), rooms);
            }
        }
    }
    return { starts, unmet };
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
        const room = chooseRoom(task, usable, perWorker, mayWait, rules);
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
    if (demand.step.spec.maxTasksPerWorker > 0) {
        for (const task of demand.step.tasks) {
            if (task.isActive) {
                counts.set(task.workerId, (counts.get(task.workerId) ?? 0) + 1);
            }
        }
    }
    return counts;
}

function chooseRoom(
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
        if (!hasRoom(room, spec)) {
            continue;
        }
        if (spec.maxTasksPerWorker > 0 && (perWorker.get(room.workerId) ?? 0) >= spec.maxTasksPerWorker) {
            continue;
        }
        // A task that failed there gets its next chance elsewhere: the worker may be at fault.
        const view = rules.describePlace(room, task.step);
        if (mayWait && view.strain > MOST_STRAIN) {
            continue;
        }
        const failed = room.workerId === task.lastFailedOn ? FAILED_THERE_PENALTY : 0;
        const score = computePlaceScore(room, spec, view) - failed;
        if (score > bestScore && rules.isAdvised(task, room.workerId)) {
            best = room;
            bestScore = score;
        }
    }
    return best;
}
