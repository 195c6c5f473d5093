import type { Clock } from "@sardinestage/describe-ports";
import { chooseRoundTime } from "./chooseRoundTime.js";

/** Runs planning rounds when they are asked for, as far as they leave the loop to what is more urgent. */
export class RoundTimer {
    private cancelTimer: (() => void) | undefined;
    private nextAtMs = Infinity;
    private lastRound = { endedAtMs: -Infinity, tookMs: 0 };
    private isClosed = false;

    /**
     * @param clock Also measures what rounds take.
     * @param runRound A round; returns after how many milliseconds the next one follows even if nobody asks.
     */
    constructor(private readonly clock: Clock, private readonly runRound: () => number) {}

    /** Asks for a round after a delay; one that comes earlier answers this too. */
    schedule(delayMs: number): void {
        const nowMs = this.clock.getNow();
        const atMs = chooseRoundTime(nowMs + delayMs, this.lastRound);
        if (this.isClosed || this.nextAtMs <= atMs) {
            return;
        }
        this.cancelTimer?.();
        this.nextAtMs = atMs;
        this.cancelTimer = this.clock.schedule(atMs - nowMs, () => this.run());
    }

    /** Ends all rounds. */
    close(): void {
        this.isClosed = true;
        this.cancelTimer?.();
    }

    private run(): void {
        const startedAtMs = this.clock.getNow();
        this.nextAtMs = Infinity;
        const delayMs = this.runRound();
        const endedAtMs = this.clock.getNow();
        this.lastRound = { endedAtMs, tookMs: endedAtMs - startedAtMs };
        const askedAtMs = this.nextAtMs;
        // What the round itself has asked for keeps to the same share.
        this.cancelTimer?.();
        this.nextAtMs = Infinity;
        this.schedule(Math.min(delayMs, askedAtMs - endedAtMs));
    }
}
