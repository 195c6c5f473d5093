import { computeBusyShare } from "./computeBusyShare.js";
import { limits } from "./limits.js";

/**
 * Chooses how long a hold waits for an end. Ends come at once anyway; only looks at what runs become rarer the later the
 * coordinator's own loop is, so that renewals, leases and starts don't wait for them. Answers a fleet that is too large or too
 * busy for the VM that coordinates.
 *
 * @param isShared Whether filling tasks work beside serving ones there.
 * @param loopDelayMs How late the loop usually is.
 * @returns Milliseconds.
 */
export function chooseHoldWait(isShared: boolean, loopDelayMs: number): number {
    const usualMs = isShared ? limits.sharedHoldWaitMs : limits.holdWaitMs;
    const mostMs = isShared ? limits.busySharedHoldWaitMs : limits.busyHoldWaitMs;
    return Math.round(usualMs + (mostMs - usualMs) * computeBusyShare(loopDelayMs));
}
