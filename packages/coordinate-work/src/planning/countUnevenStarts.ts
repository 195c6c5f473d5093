import type { PlannedStart, WorkerSpeeds } from "@sardinestage/plan-starts";
import type { CoordinatorParts } from "../coordinatorParts.js";

/** Counts the starts of a round on slow and on cold workers; a worker may be both. */
export function countUnevenStarts(
    starts: readonly PlannedStart[],
    speeds: WorkerSpeeds | undefined,
    metrics: CoordinatorParts["metrics"],
): void {
    const workers = starts.flatMap(({ workerId }) => speeds?.uneven.get(workerId) ?? []);
    const slowCount = workers.filter(({ slowness }) => slowness > 1).length;
    const coldCount = workers.filter(({ isCold }) => isCold).length;
    if (slowCount > 0) {
        metrics.count("uneven_starts_total", "slow", slowCount);
    }
    if (coldCount > 0) {
        metrics.count("uneven_starts_total", "cold", coldCount);
    }
}
