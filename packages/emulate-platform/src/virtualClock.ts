import type { Clock } from "@sardinestage/describe-ports";
import type { Timer } from "./timer.js";
import { TimerHeap } from "./timerHeap.js";

/** Unix time at which every virtual clock begins, in milliseconds. */
const WALL_START_MS = 1_800_000_000_000;

/** A clock that moves only when told to: hours of protocol take seconds, and the same seed takes the same course. */
export class VirtualClock implements Clock {
    private nowMs = 0;
    private order = 0;
    private readonly timers = new TimerHeap();
    /** Cancelled timers leave the heap when their turn comes. */
    private readonly waiting = new Set<number>();

    /** Steady time. */
    getNow(): number {
        return this.nowMs;
    }

    /** Time of day. */
    getWallTime(): number {
        return WALL_START_MS + this.nowMs;
    }

    /** Calls back once after a delay. */
    schedule(delayMs: number, run: () => void): () => void {
        const order = this.order++;
        this.timers.add({ atMs: this.nowMs + Math.max(0, delayMs), order, run });
        this.waiting.add(order);
        return () => this.waiting.delete(order);
    }

    /** Takes time of the one thread: what falls due meanwhile is late. */
    run(tookMs: number): void {
        this.nowMs += tookMs;
    }

    /** Lets time pass, and everything that was scheduled in it happen. */
    async runFor(lengthMs: number): Promise<void> {
        const untilMs = this.nowMs + lengthMs;
        await flushPromises();
        let next = this.findNext(untilMs);
        while (next !== undefined) {
            this.timers.removeFirst();
            this.waiting.delete(next.order);
            this.nowMs = Math.max(this.nowMs, next.atMs);
            next.run();
            await flushPromises();
            next = this.findNext(untilMs);
        }
        this.nowMs = Math.max(this.nowMs, untilMs);
    }

    private findNext(untilMs: number): Timer | undefined {
        let first = this.timers.getFirst();
        while (first !== undefined && !this.waiting.has(first.order)) {
            this.timers.removeFirst();
            first = this.timers.getFirst();
        }
        return first === undefined || first.atMs > untilMs ? undefined : first;
    }
}

/** Promises settle before the next timer, as they would in the real loop. */
function flushPromises(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
