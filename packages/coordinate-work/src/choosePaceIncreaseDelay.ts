import { computeBusyShare } from "./computeBusyShare.js";

/** How long a filling task keeps its pace before it may go from a standstill to full speed, in milliseconds: three looks. */
const INCREASE_DELAY_MS = 1200;
/** The same while this process is short of processor: slowed tasks can wait, leases and starts can't. */
const BUSY_INCREASE_DELAY_MS = 3600;

/** Chooses how soon a filling task may be told to work faster, in milliseconds. */
export function choosePaceIncreaseDelay(loopDelayMs: number): number {
    return Math.round(INCREASE_DELAY_MS + (BUSY_INCREASE_DELAY_MS - INCREASE_DELAY_MS) * computeBusyShare(loopDelayMs));
}
