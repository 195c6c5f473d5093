import type { StepSpec } from "@sardinestage/describe-work";
import type { WorkerRoom } from "./workerRoom.js";

/** Weight of the data's rack: a task takes half as long again elsewhere. */
const AWAY_FROM_DATA_PENALTY = 0.5;
/** Weight of a worker whose filling tasks are slowed already. */
const STRAIN_PENALTY = 1;
/** Weight of a serving task beside a filling one, each. */
const SERVING_PENALTY = 0.05;
/** Weight of filling tasks beside a serving one, per core of the worker that they ask for. */
const FILL_PENALTY = 0.5;
/** Share of their reserved processor that other tasks are taken to use. */
const USED_SHARE = 0.6;

/**
 * Scores a worker for one task of a step; the highest score wins. Filling tasks go where most processor is left
 * over and serving tasks suffer least; all others go where they leave the fewest filling tasks short.
 */
export function computePlaceScore(room: WorkerRoom, spec: StepSpec): number {
    const capacity = Math.max(1, room.capacityCpuMillis);
    const reserved = capacity - room.freeCpuMillis;
    const leftover = (capacity - reserved * USED_SHARE - room.fillCpuMillis - spec.cpuMillis) / capacity;
    const away = spec.preferredRack !== "" && !room.labels.includes(spec.preferredRack) ? AWAY_FROM_DATA_PENALTY : 0;
    if (spec.fillsLeftover) {
        return leftover - away - room.fillStrain * STRAIN_PENALTY - room.servingTasks * SERVING_PENALTY;
    }
    if (spec.tailTargetMs > 0) {
        return leftover - away - (room.fillCpuMillis / capacity) * FILL_PENALTY;
    }
    return leftover - away;
}
