import type { Clock } from "@sardinestage/describe-ports";

/** A virtual clock on which what is scheduled takes the time that it really takes, as far as it tells the time meanwhile. */
export class MeasuredClock implements Clock {
    private turnFromMs: number | undefined;

    constructor(private readonly clock: Clock) {}

    /** Steady time. */
    getNow(): number {
        const spentMs = this.turnFromMs === undefined ? 0 : performance.now() - this.turnFromMs;
        return this.clock.getNow() + spentMs;
    }

    /** Time of day. */
    getWallTime(): number {
        return this.clock.getWallTime();
    }

    /** Calls back once after a delay. */
    schedule(delayMs: number, run: () => void): () => void {
        return this.clock.schedule(delayMs, () => {
            this.turnFromMs = performance.now();
            run();
            this.turnFromMs = undefined;
        });
    }
}
