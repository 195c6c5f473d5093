import type { UnevenWorker, WorkerSpeeds } from "@sardinestage/plan-starts";
import { COLD_SLOWNESS } from "@sardinestage/plan-starts";
import type { TrackedWorker } from "../workers/trackedWorker.js";

/** Workers below this slowness count as equally fast: single runs scatter more than this around their estimates. */
const MIN_SLOWNESS = 1.2;

/**
 * Lists the workers that are slow or cold now.
 *
 * @param workers All workers.
 * @param nowMs Steady milliseconds.
 * @returns Undefined if there are none, so that work is placed as if speeds didn't matter.
 */
export function buildWorkerSpeeds(workers: Iterable<TrackedWorker>, nowMs: number): WorkerSpeeds | undefined {
    const uneven = new Map<string, UnevenWorker>();
    let worstSlowness = 1;
    for (const { entry, slowness: learned, coldPhase } of workers) {
        const estimate = learned.estimateSlowness(nowMs);
        const slowness = estimate >= MIN_SLOWNESS ? estimate : 1;
        const isCold = coldPhase.isCold(nowMs);
        if (slowness > 1 || isCold) {
            uneven.set(entry.id, { slowness, isCold });
            worstSlowness = Math.max(worstSlowness, slowness, isCold ? COLD_SLOWNESS : 1);
        }
    }
    return uneven.size === 0 ? undefined : { worstSlowness, uneven };
}
