import type { Clock } from "./clock.js";

/** Resolves after `delayMs` milliseconds on the given clock. */
export function waitFor(clock: Clock, delayMs: number): Promise<void> {
    return new Promise(resolve => {
        clock.schedule(delayMs, resolve);
    });
}
