import { computeBusyShare } from "../computeBusyShare.js";
import { limits } from "../limits.js";

/**
 * Chooses how long the next lease renewal waits at most for run ends to be recorded. A renewal before that lists them
 * once more. A worker that is leaving is asked sooner, unless this process is short of CPU: it may be gone as soon as
 * its last run has ended. While the store takes no record for long, it is asked as rarely as the others.
 *
 * @param isLeaving Whether the worker is draining or no longer listed.
 * @param waitsBefore How often the loop has already waited since the worker listed a new end.
 * @param loopDelayMs The usual delay of the event loop, in milliseconds.
 * @returns The wait in milliseconds.
 */
export function chooseRecordWait(isLeaving: boolean, waitsBefore: number, loopDelayMs: number): number {
    const isAskedSoon = isLeaving && waitsBefore < limits.leavingEndRecordWaits;
    const leastMs = isAskedSoon ? limits.leavingEndRecordWaitMs : limits.endRecordWaitMs;
    return Math.round(leastMs + (limits.endRecordWaitMs - leastMs) * computeBusyShare(loopDelayMs));
}
