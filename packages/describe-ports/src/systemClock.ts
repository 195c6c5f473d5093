import type { Clock } from "./clock.js";

/** Clock and timers of the Node.js process. */
export const systemClock: Clock = {
    getNow: () => performance.now(),
    getWallTime: () => Date.now(),
    schedule: (delayMs, run) => {
        const timer = setTimeout(run, delayMs);
        return () => clearTimeout(timer);
    },
};
