import type { StepSpec } from "@sardinestage/describe-work";
import type { WorkerRoom } from "./workerRoom.js";

/** Weight of the data's rack: a task takes half as long again elsewhere. */
const AWAY_FROM_DATA_PENALTY = 0.5;
/** Serving tasks that come closer to their targets than this share count against a place. */
const MILD_STRAIN = 0.75;
/** Weight of strain above that. */
const STRAIN_PENALTY = 4;
/** Share of their reserved processor that other tasks are taken to use. */
const USED_SHARE = 0.6;

/**
 * Scores a worker for one task of a step; the highest score wins. Filling tasks go where most processor is left
 * over; all others go where they leave the fewest filling tasks short. Nothing goes where serving tasks would suffer
 * while there is a milder place.
 *
 * @param strain How close serving tasks would come to their targets, as a share.
 */
export function computePlaceScore(room: WorkerRoom, spec: StepSpec, strain: number): number {
    const capacity = Math.max(1, room.capacityCpuMillis);
    const reserved = capacity - room.freeCpuMillis;
    const leftover = (capacity - reserved * USED_SHARE - room.fillCpuMillis - spec.cpuMillis) / capacity;
    const away = spec.preferredRack !== "" && !room.labels.includes(spec.preferredRack) ? AWAY_FROM_DATA_PENALTY : 0;
    return leftover - away - Math.max(0, strain - MILD_STRAIN) * STRAIN_PENALTY;
}
