import type { Clock } from "@sardinestage/describe-ports";

/**
 * Wraps a virtual clock and adds the real time that the running callback has taken so far, so that code which reads the
 * clock measures how long its synchronous work takes.
 */
export class MeasuredClock implements Clock {
    private callbackStartedAtMs: number | undefined;

    constructor(private readonly clock: Clock) {}

    /** Returns the monotonic time in milliseconds, including the real time spent in the running callback. */
    getNow(): number {
        const spentMs = this.callbackStartedAtMs === undefined ? 0 : performance.now() - this.callbackStartedAtMs;
        return this.clock.getNow() + spentMs;
    }

    /** Returns the wall-clock time in Unix milliseconds. */
    getWallTime(): number {
        return this.clock.getWallTime();
    }

    /** Schedules a callback after a delay; returns a function that cancels it. */
    schedule(delayMs: number, run: () => void): () => void {
        return this.clock.schedule(delayMs, () => {
            this.callbackStartedAtMs = performance.now();
            run();
            this.callbackStartedAtMs = undefined;
        });
    }
}
