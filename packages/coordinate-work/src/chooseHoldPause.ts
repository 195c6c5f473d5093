import { computeBusyShare } from "./computeBusyShare.js";
import { limits } from "./limits.js";

/**
 * Chooses how long after an answer the next hold is sent, so that the ends of that time come in one answer: each answer
 * lists all that runs, which costs far more than the ends in it. Answers a coordinator that is short of processor.
 *
 * @param loopDelayMs How late the loop usually is.
 * @returns Milliseconds.
 */
export function chooseHoldPause(loopDelayMs: number): number {
    return Math.round(limits.busyHoldPauseMs * computeBusyShare(loopDelayMs));
}
