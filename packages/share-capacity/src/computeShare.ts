import type { QueueLoad } from "./queueLoad.js";

/**
 * Computes a queue's share of the capacity, in thousandths of a core: what it wants, up to the level that all queues get,
 * and at least what its long-running tasks use.
 *
 * @param levelCpuMillis The level from `computeShareLevel`.
 */
export function computeShare(load: QueueLoad, levelCpuMillis: number): number {
    const wantedCpuMillis = load.usedCpuMillis + load.waitingCpuMillis;
    return Math.max(load.heldCpuMillis, Math.min(wantedCpuMillis, levelCpuMillis));
}
