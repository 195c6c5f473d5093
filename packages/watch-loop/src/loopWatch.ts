import type { Clock } from "@sardinestage/describe-ports";

/** Time between two looks at the clock, in milliseconds. */
const TICK_MS = 100;
/** Weight of the newest delay in the average. */
const NEWEST_WEIGHT = 0.1;
/** A look that is later than this counts as time in which nothing could be noticed, in milliseconds. */
const TOLERATED_DELAY_MS = 100;

/**
 * Watches how late timers fire. A process whose loop stands still (busy, out of its share of the processor, frozen)
 * can't tell a silent peer from an answer that it hasn't read yet; that time doesn't count as the peer's silence.
 */
export class LoopWatch {
    private attentiveMs = 0;
    private tickedAtMs: number;
    private longestDelayMs = 0;
    /** How late timers were on average lately, in milliseconds. */
    usualDelayMs = 0;
    private cancelTick: (() => void) | undefined;

    constructor(private readonly clock: Clock) {
        this.tickedAtMs = clock.getNow();
    }

    /** Begins to watch. */
    start(): void {
        this.tickedAtMs = this.clock.getNow();
        this.scheduleTick();
    }

    /** Ends watching. */
    stop(): void {
        this.cancelTick?.();
    }

    /** Steady time in milliseconds that leaves out what passed while the loop stood still. */
    getAttentiveTime(): number {
        return this.attentiveMs + this.computeAttentive(this.clock.getNow());
    }

    /** The longest delay of a timer since the last call, in milliseconds. */
    takeLongestDelay(): number {
        const delayMs = Math.max(this.longestDelayMs, this.clock.getNow() - this.tickedAtMs - TICK_MS);
        this.longestDelayMs = 0;
        return Math.max(0, delayMs);
    }

    private scheduleTick(): void {
        this.cancelTick = this.clock.schedule(TICK_MS, () => {
            const nowMs = this.clock.getNow();
            this.attentiveMs += this.computeAttentive(nowMs);
            const delayMs = Math.max(0, nowMs - this.tickedAtMs - TICK_MS);
            this.longestDelayMs = Math.max(this.longestDelayMs, delayMs);
            this.usualDelayMs += (delayMs - this.usualDelayMs) * NEWEST_WEIGHT;
            this.tickedAtMs = nowMs;
            this.scheduleTick();
        });
    }

    private computeAttentive(nowMs: number): number {
        return Math.min(nowMs - this.tickedAtMs, TICK_MS + TOLERATED_DELAY_MS);
    }
}
