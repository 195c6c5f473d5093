import { computeBusyShare } from "../computeBusyShare.js";
import { limits } from "../limits.js";

/**
 * Chooses the pause between a lease report and the next renewal. The pause relieves a coordinator that is short of CPU:
 * each report lists all active runs, which costs far more than the run ends in it, and after a pause one report carries
 * all ends of that time.
 *
 * @param loopDelayMs The usual delay of the event loop, in milliseconds.
 * @returns The pause in milliseconds.
 */
export function chooseRenewalPause(loopDelayMs: number): number {
    return Math.round(limits.busyRenewalPauseMs * computeBusyShare(loopDelayMs));
}
