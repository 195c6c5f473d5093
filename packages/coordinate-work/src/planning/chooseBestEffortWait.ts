import type { WorkerCapacity } from "@sardinestage/plan-starts";

/** Reserved share of the fleet's processor from which the fleet is busy: best-effort tasks then wait without limit. */
const BUSY_SHARE = 0.55;
/**
 * How long a best-effort task waits for a placement that leaves serving tasks more headroom if the fleet isn't busy, in
 * milliseconds.
 */
const MAX_BEST_EFFORT_WAIT_MS = 2000;

/** Chooses how long a best-effort task waits for a worker where no serving task nears its target, in milliseconds. */
export function chooseBestEffortWait(capacities: readonly WorkerCapacity[]): number {
    return computeReservedShare(capacities) >= BUSY_SHARE ? Infinity : MAX_BEST_EFFORT_WAIT_MS;
}

function computeReservedShare(capacities: readonly WorkerCapacity[]): number {
    const totalCpuMillis = capacities.reduce((sum, capacity) => sum + capacity.capacityCpuMillis, 0);
    const freeCpuMillis = capacities.reduce((sum, capacity) => sum + capacity.freeCpuMillis, 0);
    return totalCpuMillis === 0 ? 0 : 1 - freeCpuMillis / totalCpuMillis;
}
