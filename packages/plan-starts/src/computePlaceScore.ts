import type { StepSpec } from "@sardinestage/describe-work";
import type { PlaceView } from "./placeView.js";
import type { WorkerRoom } from "./workerRoom.js";

/** Weight of the data's rack: a task takes half as long again elsewhere. */
const AWAY_FROM_DATA_PENALTY = 0.5;
/** Serving tasks that come closer to their targets than this share count against a place. */
const MILD_STRAIN = 0.65;
/** Weight of strain above that. */
const STRAIN_PENALTY = 4;
/** Weight of a place without serving tasks for one that harms nobody: harmful ones need such places. */
const SPARED_PLACE_PENALTY = 0.4;
/** Weight of the share of serving tasks there that suffer alike: a mixed worker is as touchy as its touchiest task. */
const ALIKE_BONUS = 1.5;
/** Weight of how full a worker is, for serving tasks. */
const PACK_BONUS = 0.5;
/** Share of their reserved processor that other tasks are taken to use. */
const USED_SHARE = 0.6;

/**
 * Scores a worker for one task of a step; the highest score wins. Filling tasks go where most processor is left over
 * and nobody suffers. Serving tasks are packed, those that suffer alike together, so that some workers stay free of them
 * for what would harm them. Everything else goes where it leaves the fewest filling tasks short.
 */
export function computePlaceScore(room: WorkerRoom, spec: StepSpec, view: PlaceView): number {
    const capacity = Math.max(1, room.capacityCpuMillis);
    const reserved = capacity - room.freeCpuMillis;
    const leftover = (capacity - reserved * USED_SHARE - room.fillCpuMillis - spec.cpuMillis) / capacity;
    const away = spec.preferredRack !== "" && !room.labels.includes(spec.preferredRack) ? AWAY_FROM_DATA_PENALTY : 0;
    const strain = Math.max(0, view.strain - MILD_STRAIN) * STRAIN_PENALTY;
    if (spec.tailTargetMs > 0) {
        return view.alikeShare * ALIKE_BONUS + (reserved / capacity) * PACK_BONUS - away - strain;
    }
    const isSpared = spec.fillsLeftover && !view.isHarmful && room.servers.length === 0;
    return leftover - away - strain - (isSpared ? SPARED_PLACE_PENALTY : 0);
}
