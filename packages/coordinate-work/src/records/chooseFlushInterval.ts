import { computeBusyShare } from "../computeBusyShare.js";
import { limits } from "../limits.js";

/**
 * Chooses the interval between two appends of progress. A record holds the progress of a whole job, so in a process
 * that is short of processor fewer appends, each with the changes of a longer time, cost far less.
 *
 * @param loopDelayMs The usual delay of the event loop, in milliseconds.
 * @returns The interval in milliseconds.
 */
export function chooseFlushInterval(loopDelayMs: number): number {
    const { flushIntervalMs, busyFlushIntervalMs } = limits;
    return Math.round(flushIntervalMs + (busyFlushIntervalMs - flushIntervalMs) * computeBusyShare(loopDelayMs));
}
