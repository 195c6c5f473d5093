import { computeBusyShare } from "../computeBusyShare.js";
import { limits } from "../limits.js";

/**
 * Chooses the long-poll timeout of a lease renewal: how long the worker waits for a run to end before it answers
 * anyway. The later the coordinator's event loop is, the longer the timeout, so that a fleet too large or too busy for
 * this VM doesn't delay lease renewals and starts. The ends of runs are reported at once in any case; only the
 * measurements of active runs come less often.
 *
 * @param hasMixedTasks Whether best-effort tasks run beside serving tasks on the worker.
 * @param loopDelayMs The usual delay of the event loop, in milliseconds.
 * @returns The timeout in milliseconds.
 */
export function chooseLongPollTimeout(hasMixedTasks: boolean, loopDelayMs: number): number {
    const usualMs = hasMixedTasks ? limits.mixedLongPollMs : limits.longPollMs;
    const mostMs = hasMixedTasks ? limits.busyMixedLongPollMs : limits.busyLongPollMs;
    return Math.round(usualMs + (mostMs - usualMs) * computeBusyShare(loopDelayMs));
}
