/** Time for which calls to a relay and its answers are gathered, in milliseconds: short compared to a round trip. */
const MIN_GATHER_MS = 8;
/** The longest such time, of a process that is short of processor, in milliseconds. */
const MAX_GATHER_MS = 40;
/** An event loop with this usual delay counts as fully busy, in milliseconds. */
const BUSY_LOOP_DELAY_MS = 100;

/**
 * Chooses how long the coordinator and its relays gather calls and answers before they send them in one frame. The
 * later the coordinator's event loop is, the longer the time: fewer and larger frames cost it less.
 *
 * @param loopDelayMs The usual delay of the coordinator's event loop, in milliseconds.
 * @returns The time in milliseconds.
 */
export function chooseGatherTime(loopDelayMs: number): number {
    const busyShare = Math.min(1, Math.max(0, loopDelayMs) / BUSY_LOOP_DELAY_MS);
    return MIN_GATHER_MS + (MAX_GATHER_MS - MIN_GATHER_MS) * busyShare;
}
