import type { Clock } from "@sardinestage/describe-ports";

/** Something that was scheduled. */
interface Timer {
    readonly atMs: number;
    readonly run: () => void;
}

/** One thread: what takes long makes everything behind it late. */
export class BusyLoop implements Clock {
    private nowMs = 0;
    private timers: Timer[] = [];

    /** Steady time. */
    getNow(): number {
        return this.nowMs;
    }

    /** Time of day. */
    getWallTime(): number {
        return this.nowMs;
    }

    /** Calls back once after a delay, or later if the thread is busy then. */
    schedule(delayMs: number, run: () => void): () => void {
        const timer = { atMs: this.nowMs + delayMs, run };
        this.timers.push(timer);
        return () => {
            this.timers = this.timers.filter(other => other !== timer);
        };
    }

    /** Takes processor time. */
    run(tookMs: number): void {
        this.nowMs += tookMs;
    }

    /** Lets time pass, and everything that was scheduled in it happen, one after the other. */
    runUntil(untilMs: number): void {
        while (this.nowMs < untilMs) {
            const next = this.timers.reduce<Timer>(
                (first, timer) => timer.atMs < first.atMs ? timer : first,
                { atMs: untilMs, run: () => undefined },
            );
            this.timers = this.timers.filter(other => other !== next);
            this.nowMs = Math.max(this.nowMs, next.atMs);
            next.run();
        }
    }
}
