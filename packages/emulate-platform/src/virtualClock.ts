import type { Clock } from "@sardinestage/describe-ports";
import type { Timer } from "./timer.js";
import { TimerHeap } from "./timerHeap.js";

/** Unix time at which every virtual clock starts, in milliseconds. */
const WALL_START_MS = 1_800_000_000_000;

/** A clock that a test advances: hours of virtual time take seconds, and a run is reproducible from its seed. */
export class VirtualClock implements Clock {
    private nowMs = 0;
    private nextSequenceNumber = 0;
    private readonly timers = new TimerHeap();
    /** Sequence numbers of pending timers. A cancelled timer stays in the heap until it is the first one there. */
    private readonly waiting = new Set<number>();

    /** Returns the monotonic time in milliseconds. */
    getNow(): number {
        return this.nowMs;
    }

    /** Returns the wall-clock time in Unix milliseconds. */
    getWallTime(): number {
        return WALL_START_MS + this.nowMs;
    }

    /** Schedules a callback after a delay; returns a function that cancels it. */
    schedule(delayMs: number, run: () => void): () => void {
        const sequenceNumber = this.nextSequenceNumber++;
        this.timers.add({ atMs: this.nowMs + Math.max(0, delayMs), sequenceNumber, run });
        this.waiting.add(sequenceNumber);
        return () => this.waiting.delete(sequenceNumber);
    }

    /** Advances the time without running timers, as a busy thread does: timers that fall due meanwhile run late. */
    skipTime(tookMs: number): void {
        this.nowMs += tookMs;
    }

    /** Advances the time and runs every timer that falls due meanwhile. */
    async runFor(lengthMs: number): Promise<void> {
        const untilMs = this.nowMs + lengthMs;
        await flushPromises();
        let next = this.findNext(untilMs);
        while (next !== undefined) {
            this.timers.removeFirst();
            this.waiting.delete(next.sequenceNumber);
            this.nowMs = Math.max(this.nowMs, next.atMs);
            next.run();
            await flushPromises();
            next = this.findNext(untilMs);
        }
        this.nowMs = Math.max(this.nowMs, untilMs);
    }

    private findNext(untilMs: number): Timer | undefined {
        let first = this.timers.getFirst();
        while (first !== undefined && !this.waiting.has(first.sequenceNumber)) {
            this.timers.removeFirst();
            first = this.timers.getFirst();
        }
        return first === undefined || first.atMs > untilMs ? undefined : first;
    }
}

/** Lets pending promises settle before the next timer runs, as in the real event loop. */
function flushPromises(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
