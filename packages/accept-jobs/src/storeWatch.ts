import type { Clock, StorePort } from "@sardinestage/describe-ports";
import { Topic } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";

/** Interval between two checks whether an unavailable store answers again, in milliseconds. */
const STORE_CHECK_INTERVAL_MS = 250;
/**
 * Maximum number of unanswered checks at a time. The answer of a check may be lost, and a read's timeout is four
 * intervals long.
 */
const MAX_CHECKS_IN_FLIGHT = 2;
/** A check of a store that answers is answered within this, in milliseconds: a few round trips between regions. */
const CHECK_ANSWER_MS = 100;

/** Dependencies of `StoreWatch`. */
interface StoreWatchParts {
    readonly store: StorePort;
    readonly clock: Clock;
    readonly logger: EventLogger;
}

/** Knows whether the store is available: not from a failed append on, until it has answered a read. */
export class StoreWatch {
    private doubtedAtMs: number | undefined;
    private checksInFlight = 0;
    private checkSentAtMs = -Infinity;
    private cancelNextCheck: () => void = () => undefined;
    /** Called when the newest check has been answered, or the store is available again. */
    private readonly waiters = new Set<() => void>();

    constructor(private readonly parts: StoreWatchParts) {}

    /** Whether an append has failed and no read has been answered since. */
    get isUnavailable(): boolean {
        return this.doubtedAtMs !== undefined;
    }

    /** Notes that the store hasn't answered an append, or has refused it. */
    noteFailure(): void {
        if (!this.isUnavailable) {
            this.doubtedAtMs = this.parts.clock.getNow();
            this.parts.logger.warn("store-doubted", { topic: "jobs" });
            this.startCheck();
        }
    }

    /** Waits for the outcome of a check that was sent just now. Returns whether the store is available. */
    async waitForCheck(): Promise<boolean> {
        const { clock } = this.parts;
        const leftMs = this.checkSentAtMs + CHECK_ANSWER_MS - clock.getNow();
        if (this.isUnavailable && this.checksInFlight > 0 && leftMs > 0) {
            await new Promise<void>(resolve => {
                const wake = () => {
                    this.waiters.delete(wake);
                    cancel();
                    resolve();
                };
                const cancel = clock.schedule(leftMs, wake);
                this.waiters.add(wake);
            });
        }
        return !this.isUnavailable;
    }

    private startCheck(): void {
        this.cancelNextCheck = this.parts.clock.schedule(STORE_CHECK_INTERVAL_MS, () => this.startCheck());
        if (this.checksInFlight < MAX_CHECKS_IN_FLIGHT) {
            void this.runCheck();
        }
    }

    private async runCheck(): Promise<void> {
        const { store, clock, logger } = this.parts;
        const sentAtMs = clock.getNow();
        this.checksInFlight++;
        this.checkSentAtMs = sentAtMs;
        const { succeeded } = await store.readNewest(Topic.Term, undefined);
        this.checksInFlight--;
        if (succeeded && this.doubtedAtMs !== undefined && sentAtMs >= this.doubtedAtMs) {
            logger.info("store-trusted", { topic: "jobs", afterMs: Math.round(clock.getNow() - this.doubtedAtMs) });
            this.doubtedAtMs = undefined;
            this.cancelNextCheck();
        }
        if (!this.isUnavailable || sentAtMs === this.checkSentAtMs) {
            [...this.waiters].forEach(wake => wake());
        }
    }
}
