import { limits } from "../limits.js";

/**
 * Chooses how long the event loop is left to other work after a batch of start orders. The pause is 0 unless the loop's
 * usual delay exceeds `limits.busyLoopDelayMs`: on a VM that is so short of processor, lease renewals would otherwise
 * get too little of the loop.
 *
 * @param tookMs How long the batch took to send, in milliseconds.
 * @param loopDelayMs The usual delay of the event loop, in milliseconds.
 * @returns Milliseconds, at most `tookMs`.
 */
export function chooseStartPause(tookMs: number, loopDelayMs: number): number {
    const overload = loopDelayMs / limits.busyLoopDelayMs - 1;
    return tookMs * Math.min(1, Math.max(0, overload));
}
