import { computeBusyShare } from "./computeBusyShare.js";

/** How long a filling task keeps its pace before it may go from a standstill to full speed, in milliseconds: three looks. */
const RISE_WAIT_MS = 1200;
/** The same while this process is short of processor: slowed tasks can wait, leases and starts can't. */
const BUSY_RISE_WAIT_MS = 3600;

/** Chooses how soon a filling task may be told to work faster, in milliseconds. */
export function chooseRiseWait(loopDelayMs: number): number {
    return Math.round(RISE_WAIT_MS + (BUSY_RISE_WAIT_MS - RISE_WAIT_MS) * computeBusyShare(loopDelayMs));
}
