import { limits } from "./limits.js";

/** How busy a process is whose loop is usually this late, in milliseconds: from 0 to 1. */
export function computeBusyShare(loopDelayMs: number): number {
    return Math.min(1, Math.max(0, loopDelayMs) / limits.busyLoopDelayMs);
}
