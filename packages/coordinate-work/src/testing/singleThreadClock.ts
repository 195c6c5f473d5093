import type { Clock } from "@sardinestage/describe-ports";

/** A scheduled callback. */
interface Timer {
    readonly atMs: number;
    readonly run: () => void;
}

/** Virtual clock of a single thread: a slow callback delays all later ones. */
export class SingleThreadClock implements Clock {
    private nowMs = 0;
    private timers: Timer[] = [];

    /** Returns the steady time in milliseconds. */
    getNow(): number {
        return this.nowMs;
    }

    /** Returns the time of day, which is the same as the steady time here. */
    getWallTime(): number {
        return this.nowMs;
    }

    /**
     * Calls back once after a delay, or later if the thread is busy then. Returns a function that cancels the callback.
     */
    schedule(delayMs: number, run: () => void): () => void {
        const timer = { atMs: this.nowMs + delayMs, run };
        this.timers.push(timer);
        return () => {
            this.timers = this.timers.filter(other => other !== timer);
        };
    }

    /** Simulates work that occupies the thread for a time in milliseconds. */
    run(tookMs: number): void {
        this.nowMs += tookMs;
    }

    /** Advances the time and runs all callbacks that become due, one after the other. */
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
