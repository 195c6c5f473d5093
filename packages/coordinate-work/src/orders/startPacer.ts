import type { Clock } from "@sardinestage/describe-ports";
import { limits } from "../limits.js";
import { chooseStartPause } from "./chooseStartPause.js";

/**
 * Sends start orders in short batches with pauses for other work between them: a round may order hundreds of starts at
 * once, and in a process that is short of processor, lease renewals and answers would wait for all of them.
 */
export class StartPacer {
    private waiting: (() => void)[] = [];
    private isScheduled = false;

    /**
     * @param clock Steady time.
     * @param getLoopDelay Returns the usual delay of the event loop, in milliseconds.
     */
    constructor(private readonly clock: Clock, private readonly getLoopDelay: () => number) {}

    /** The number of orders that wait to be sent. */
    get waitingCount(): number {
        return this.waiting.length;
    }

    /** Queues an order; `send` is called when it is the order's turn. */
    add(send: () => void): void {
        this.waiting.push(send);
        this.scheduleBatch(0);
    }

    /** Schedules the next batch, so that other work on the event loop runs before it. */
    private scheduleBatch(delayMs: number): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            this.clock.schedule(delayMs, () => this.sendBatch());
        }
    }

    private sendBatch(): void {
        const startedAtMs = this.clock.getNow();
        const orders = this.waiting;
        let sent = 0;
        let tookMs = 0;
        while (sent < orders.length && tookMs < limits.startBatchMs) {
            orders[sent]();
            sent++;
            tookMs = this.clock.getNow() - startedAtMs;
        }
        this.waiting = orders.slice(sent);
        this.isScheduled = false;
        if (this.waiting.length > 0) {
            this.scheduleBatch(chooseStartPause(tookMs, this.getLoopDelay()));
        }
    }
}
