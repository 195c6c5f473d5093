import type { QueueLoad } from "./queueLoad.js";
import type { ShareDemand } from "./shareDemand.js";
import { ShareRank } from "./shareRank.js";

/**
 * Ranks the waiting demands of one queue by what the queue uses when the demands before them have started. The ranks
 * don't change the order within the queue, except that useless demands come last.
 *
 * @param load The queue's load.
 * @param levelCpuMillis The level from `computeShareLevel`.
 * @param demands The demands in start order.
 * @returns The ranks, in the order of the demands.
 */
export function computeShareRanks(
    load: QueueLoad,
    levelCpuMillis: number,
    demands: readonly ShareDemand[],
): readonly ShareRank[] {
    let usedCpuMillis = load.usedCpuMillis;
    return demands.map(({ cpuMillis, isUseless }) => {
        if (isUseless) {
            return ShareRank.Useless;
        }
        const isBelow = usedCpuMillis < levelCpuMillis;
        usedCpuMillis += cpuMillis;
        if (!isBelow) {
            return ShareRank.Over;
        }
        return usedCpuMillis <= levelCpuMillis ? ShareRank.Within : ShareRank.Exceeding;
    });
}
