import { limits } from "./limits.js";

/**
 * Computes how busy a process is from the usual delay of its event loop, in milliseconds: from 0 to 1 for fully busy.
 */
export function computeBusyShare(loopDelayMs: number): number {
    return Math.min(1, Math.max(0, loopDelayMs) / limits.busyLoopDelayMs);
}
