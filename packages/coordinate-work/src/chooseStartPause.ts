import { limits } from "./limits.js";

/**
 * Chooses how long the loop is left to other work after some start orders were sent. A loop that turns needs none. On a
 * VM so weak that its loop stands still for want of processor, renewals of leases would get too little of it.
 *
 * @param tookMs How long sending took.
 * @param loopDelayMs How late the loop usually is.
 * @returns Milliseconds, as long as sending took at most.
 */
export function chooseStartPause(tookMs: number, loopDelayMs: number): number {
    const overload = loopDelayMs / limits.busyLoopDelayMs - 1;
    return tookMs * Math.min(1, Math.max(0, overload));
}
