import { computeBusyShare } from "../computeBusyShare.js";

/**
 * How long a best-effort task keeps its pace before it may go from paused to full speed, in milliseconds: three
 * polls of its worker.
 */
const INCREASE_DELAY_MS = 1200;
/** The same while this process is short of processor: throttled tasks can wait, lease renewals and starts can't. */
const BUSY_INCREASE_DELAY_MS = 3600;

/**
 * Chooses how soon the pace of a best-effort task may be increased.
 *
 * @param loopDelayMs The usual delay of the event loop, in milliseconds.
 * @returns Milliseconds.
 */
export function choosePaceIncreaseDelay(loopDelayMs: number): number {
    return Math.round(INCREASE_DELAY_MS + (BUSY_INCREASE_DELAY_MS - INCREASE_DELAY_MS) * computeBusyShare(loopDelayMs));
}
