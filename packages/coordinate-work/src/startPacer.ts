import type { Clock } from "@sardinestage/describe-ports";
import { chooseStartPause } from "./chooseStartPause.js";
import { limits } from "./limits.js";

/**
 * Sends start orders a few in each turn of the loop, by what they take of it: a round may order hundreds at once, and in a
 * process with little processor renewals of leases and answers would wait for all of them.
 */
export class StartPacer {
    private waiting: (() => void)[] = [];
    private isScheduled = false;

    /**
     * @param clock Steady time.
     * @param getLoopDelay How late the loop usually is, in milliseconds.
     */
    constructor(private readonly clock: Clock, private readonly getLoopDelay: () => number) {}

    /** How many orders wait for their turn. */
    get waitingCount(): number {
        return this.waiting.length;
    }

    /** Sends an order in its turn. */
    add(send: () => void): void {
        this.waiting.push(send);
        this.scheduleTurn(0);
    }

    /** Whatever else the loop has to do comes before the next turn. */
    private scheduleTurn(delayMs: number): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            this.clock.schedule(delayMs, () => this.runTurn());
        }
    }

    private runTurn(): void {
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
            this.scheduleTurn(chooseStartPause(tookMs, this.getLoopDelay()));
        }
    }
}
