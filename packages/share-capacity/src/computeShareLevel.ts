import { computeShare } from "./computeShare.js";
import type { QueueLoad } from "./queueLoad.js";

/** Smallest capacity, in thousandths of a core. */
const LEAST_CPU_MILLIS = 1;

/**
 * Computes the capacity up to which each queue of one priority gets what it wants (max-min fairness): what a queue
 * doesn't want is divided equally between the others.
 *
 * Long-running tasks keep the capacity that they use, even beyond the level; only the rest is divided. If long-running
 * tasks use all capacity, the level is just above the use of the queue that uses least, so that its demands come first.
 *
 * @param loads The queues' loads.
 * @param capacityCpuMillis Capacity that the queues use or can use now, in thousandths of a core.
 * @returns The level in thousandths of a core; infinite if the capacity suffices for all queues.
 */
export function computeShareLevel(loads: readonly QueueLoad[], capacityCpuMillis: number): number {
    const computeSum = (level: number) => loads.reduce((sum, load) => sum + computeShare(load, level), 0);
    if (computeSum(Infinity) <= capacityCpuMillis) {
        return Infinity;
    }
    return Math.max(computeFullLevel(loads, capacityCpuMillis, computeSum), computeLeastLevel(loads));
}

/** Computes the level at which the shares use the whole capacity. Between two breakpoints their sum is linear. */
function computeFullLevel(
    loads: readonly QueueLoad[],
    capacityCpuMillis: number,
    computeSum: (level: number) => number,
): number {
    const breakpoints = loads.flatMap(load => [load.heldCpuMillis, computeShare(load, Infinity)]);
    let from = 0;
    for (const to of breakpoints.sort((left, right) => left - right)) {
        const sumTo = computeSum(to);
        if (sumTo >= capacityCpuMillis) {
            const sumFrom = computeSum(from);
            const portion = sumTo > sumFrom ? (capacityCpuMillis - sumFrom) / (sumTo - sumFrom) : 0;
            return from + Math.max(0, portion) * (to - from);
        }
        from = to;
    }
    return from;
}

function computeLeastLevel(loads: readonly QueueLoad[]): number {
    const waiting = loads.filter(load => load.waitingCpuMillis > 0);
    return Math.min(...waiting.map(load => load.usedCpuMillis)) + LEAST_CPU_MILLIS;
}
