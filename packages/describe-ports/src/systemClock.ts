import type { Clock } from "./clock.js";

/** The process's own clock. */
export const systemClock: Clock = {
    getNow: () => performance.now(),
    getWallTime: () => Date.now(),
    schedule: (delayMs, run) => {
        const timer = setTimeout(run, delayMs);
        return () => clearTimeout(timer);
    },
};
