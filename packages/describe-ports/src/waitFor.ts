import type { Clock } from "./clock.js";

/** Waits for a time on the given clock. */
export function waitFor(clock: Clock, delayMs: number): Promise<void> {
    return new Promise(resolve => {
        clock.schedule(delayMs, resolve);
    });
}
