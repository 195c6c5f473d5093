import type { Clock } from "@sardinestage/describe-ports";
import { AdaptiveTimeout } from "@sardinestage/learn-behaviour";
import type { EventLogger } from "@sardinestage/log-events";

/** Bounds of the hedge delay, in milliseconds: from a round trip between regions to half the timeout of a query. */
const HEDGE_DELAY_BOUNDS = { leastMs: 150, mostMs: 750 };
/** Timeouts of calls sent within this time count as one, in milliseconds: one lost connection fails all calls on it. */
const SAME_TIMEOUT_MS = 100;
/** Number of consecutive timeouts that open the circuit. */
const TIMEOUTS_TO_OPEN = 3;
/** Interval between calls while the circuit is open, in milliseconds; a coordinator is replaced within a few calls. */
const PROBE_INTERVAL_MS = 1000;

/**
 * Circuit breaker for calls to the coordinator. The circuit opens after several consecutive timeouts. While it is open,
 * only one call per interval is let through, and the first answer closes it. This spares a coordinator that is short of
 * CPU repeated calls from every VM.
 */
export class CoordinatorCircuitBreaker {
    private consecutiveTimeouts = 0;
    private openedAtMs: number | undefined;
    private lastCallAtMs = -Infinity;
    private lastTimeoutSentAtMs = -Infinity;
    private readonly answerTimeout = new AdaptiveTimeout(HEDGE_DELAY_BOUNDS);

    /** @param purpose Purpose of the calls, for log lines. */
    constructor(
        private readonly clock: Clock,
        private readonly logger: EventLogger,
        private readonly purpose: string,
    ) {}

    /** Whether several calls in a row got no answer, and none has since. */
    get isOpen(): boolean {
        return this.openedAtMs !== undefined;
    }

    /** Wait for an answer before a fallback starts in parallel, in milliseconds; 0 while the circuit is open. */
    get hedgeDelayMs(): number {
        return this.openedAtMs === undefined ? this.answerTimeout.currentMs : 0;
    }

    /** Decides whether a call may be sent now. */
    admitCall(): boolean {
        const nowMs = this.clock.getNow();
        if (this.openedAtMs !== undefined && nowMs - this.lastCallAtMs < PROBE_INTERVAL_MS) {
            return false;
        }
        this.lastCallAtMs = nowMs;
        return true;
    }

    /** Notes an answer and closes the circuit. */
    noteAnswer(tookMs: number): void {
        this.answerTimeout.noteAnswer(tookMs);
        this.consecutiveTimeouts = 0;
        if (this.openedAtMs !== undefined) {
            const afterMs = Math.round(this.clock.getNow() - this.openedAtMs);
            this.openedAtMs = undefined;
            this.logger.info("coordinator-trusted", { purpose: this.purpose, afterMs });
        }
    }

    /**
     * Notes that a call got no answer in time, and opens the circuit after several of these.
     *
     * @param sentAtMs When the call was sent, in steady milliseconds.
     */
    noteTimeout(sentAtMs: number): void {
        if (sentAtMs - this.lastTimeoutSentAtMs < SAME_TIMEOUT_MS) {
            return;
        }
        this.lastTimeoutSentAtMs = sentAtMs;
        this.consecutiveTimeouts++;
        if (this.openedAtMs === undefined && this.consecutiveTimeouts >= TIMEOUTS_TO_OPEN) {
            this.openedAtMs = this.clock.getNow();
            this.logger.warn("coordinator-doubted", { purpose: this.purpose, silences: this.consecutiveTimeouts });
        }
    }
}
