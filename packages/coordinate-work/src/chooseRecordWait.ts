import { computeBusyShare } from "./computeBusyShare.js";
import { limits } from "./limits.js";

/**
 * Chooses how long the next lease renewal waits at most for run ends to be recorded. A renewal before that lists them
 * once more. A worker that is leaving is asked sooner, unless this process is short of CPU: it may be gone as soon as
 * its last run has ended.
 *
 * @param isLeaving Whether the worker is draining or no longer listed.
 * @param loopDelayMs The usual delay of the event loop, in milliseconds.
 * @returns The wait in milliseconds.
 */
export function chooseRecordWait(isLeaving: boolean, loopDelayMs: number): number {
    const leastMs = isLeaving ? limits.leavingEndRecordWaitMs : limits.endRecordWaitMs;
    return Math.round(leastMs + (limits.endRecordWaitMs - leastMs) * computeBusyShare(loopDelayMs));
}
