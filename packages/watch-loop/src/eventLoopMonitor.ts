import type { Clock } from "@sardinestage/describe-ports";

/** Interval of the timer whose delay is measured, in milliseconds. */
const TICK_MS = 100;
/** Weight of the newest delay in the exponential moving average. */
const NEWEST_WEIGHT = 0.1;
/** Delay of the timer up to which the loop counts as responsive, in milliseconds; the time beyond counts as a stall. */
const TOLERATED_DELAY_MS = 100;

/**
 * Measures how late timers fire. While the event loop of a process is stalled (busy, throttled by the operating system,
 * or frozen), the process can't tell a silent peer from one whose answer it hasn't read yet. The time of such a stall
 * therefore doesn't count towards the silence of a peer.
 */
export class EventLoopMonitor {
    private responsiveMs = 0;
    private lastTickAtMs: number;
    private longestDelayMs = 0;
    /** Moving average of the timer's delay, in milliseconds. */
    averageDelayMs = 0;
    private cancelTick: (() => void) | undefined;

    constructor(private readonly clock: Clock) {
        this.lastTickAtMs = clock.getNow();
    }

    /** Starts measuring. */
    start(): void {
        this.lastTickAtMs = this.clock.getNow();
        this.scheduleTick();
    }

    /** Stops measuring. */
    stop(): void {
        this.cancelTick?.();
    }

    /** Returns the monotonic time since the start of measuring without the time of stalls, in milliseconds. */
    getResponsiveTime(): number {
        return this.responsiveMs + this.computeResponsiveTime(this.clock.getNow());
    }

    /** Returns the timer's longest delay since the last call, in milliseconds, and resets it. */
    takeLongestDelay(): number {
        const delayMs = Math.max(this.longestDelayMs, this.clock.getNow() - this.lastTickAtMs - TICK_MS);
        this.longestDelayMs = 0;
        return Math.max(0, delayMs);
    }

    private scheduleTick(): void {
        this.cancelTick = this.clock.schedule(TICK_MS, () => {
            const nowMs = this.clock.getNow();
            this.responsiveMs += this.computeResponsiveTime(nowMs);
            const delayMs = Math.max(0, nowMs - this.lastTickAtMs - TICK_MS);
            this.longestDelayMs = Math.max(this.longestDelayMs, delayMs);
            this.averageDelayMs += (delayMs - this.averageDelayMs) * NEWEST_WEIGHT;
            this.lastTickAtMs = nowMs;
            this.scheduleTick();
        });
    }

    private computeResponsiveTime(nowMs: number): number {
        return Math.min(nowMs - this.lastTickAtMs, TICK_MS + TOLERATED_DELAY_MS);
    }
}
