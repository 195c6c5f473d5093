import type { StepSpec } from "@sardinestage/describe-work";
import type { PlaceView } from "./placeView.js";
import type { WorkerRoom } from "./workerRoom.js";

/** Weight of the data's rack: a task takes half as long again elsewhere. */
const REMOTE_DATA_PENALTY = 0.5;
/** Serving tasks that come closer to their targets than this share count against a place. */
const TOLERATED_LATENCY_RATIO = 0.65;
/** Weight of strain above that. */
const LATENCY_RATIO_PENALTY = 4;
/** Weight of a place without serving tasks for one that harms nobody: harmful ones need such places. */
const NO_SERVING_TASKS_PENALTY = 0.4;
/** Weight of the share of serving tasks there that suffer alike: a mixed worker is as touchy as its touchiest task. */
const SIMILAR_SENSITIVITY_BONUS = 1.5;
/** Weight of how full a worker is, for serving tasks. */
const PACKING_BONUS = 0.5;
/** Share of their reserved processor that other tasks are taken to use. */
const ASSUMED_USE_SHARE = 0.6;

/**
 * Scores a worker for one task of a step; the highest score wins. Filling tasks go where most processor is left over
 * and nobody suffers. Serving tasks are packed, those that suffer alike together, so that some workers stay free of them
 * for what would harm them. Everything else goes where it leaves the fewest filling tasks short.
 */
export function computePlacementScore(room: WorkerRoom, spec: StepSpec, view: PlaceView): number {
    const capacity = Math.max(1, room.capacityCpuMillis);
    const reserved = capacity - room.freeCpuMillis;
    const leftover = (capacity - reserved * ASSUMED_USE_SHARE - room.fillCpuMillis - spec.cpuMillis) / capacity;
    const away = spec.preferredRack !== "" && !room.labels.includes(spec.preferredRack) ? REMOTE_DATA_PENALTY : 0;
    const strain = Math.max(0, view.strain - TOLERATED_LATENCY_RATIO) * LATENCY_RATIO_PENALTY;
    if (spec.tailTargetMs > 0) {
        return view.alikeShare * SIMILAR_SENSITIVITY_BONUS + (reserved / capacity) * PACKING_BONUS - away - strain;
    }
    const isSpared = spec.fillsLeftover && !view.isHarmful && room.servers.length === 0;
    return leftover - away - strain - (isSpared ? NO_SERVING_TASKS_PENALTY : 0);
}
