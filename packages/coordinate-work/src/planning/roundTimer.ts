import type { Clock } from "@sardinestage/describe-ports";
import { limits } from "../limits.js";
import { chooseRoundTime } from "./chooseRoundTime.js";

/** Runs planning rounds on request, and limits their share of the event loop so that more urgent work isn't delayed. */
export class RoundTimer {
    private cancelTimer: (() => void) | undefined;
    private nextAtMs = Infinity;
    private lastRound = { endedAtMs: -Infinity, tookMs: 0 };
    private isClosed = false;

    /**
     * @param clock Schedules rounds and measures how long they take.
     * @param runRound Runs a round; returns the time until the next one without a request, in milliseconds.
     * @param noteFailure Called with the error of a round that throws; the next round begins as after any other.
     */
    constructor(
        private readonly clock: Clock,
        private readonly runRound: () => number,
        private readonly noteFailure: (failure: unknown) => void = () => undefined,
    ) {}

    /**
     * Requests a round after a delay, in milliseconds; an earlier round that is already scheduled serves this request
     * too.
     */
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

    /** Stops all rounds. */
    close(): void {
        this.isClosed = true;
        this.cancelTimer?.();
    }

    private tryRound(): number {
        try {
            return this.runRound();
        }
        catch (failure) {
            this.noteFailure(failure);
            return limits.idleRoundMs;
        }
    }

    private run(): void {
        const startedAtMs = this.clock.getNow();
        this.nextAtMs = Infinity;
        const delayMs = this.tryRound();
        const endedAtMs = this.clock.getNow();
        this.lastRound = { endedAtMs, tookMs: endedAtMs - startedAtMs };
        const requestedAtMs = this.nextAtMs;
        // The limit on the share also applies to a round that this round has requested itself.
        this.cancelTimer?.();
        this.nextAtMs = Infinity;
        this.schedule(Math.min(delayMs, requestedAtMs - endedAtMs));
    }
}
