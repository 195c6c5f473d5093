import type { Clock } from "@sardinestage/describe-ports";
import { AdaptiveTimeout } from "@sardinestage/learn-behaviour";
import type { EventLogger } from "@sardinestage/log-events";

/** How long an answer is waited for alone at least and at most, in milliseconds: a round trip between regions; half a question's time. */
const WAITS = { leastMs: 150, mostMs: 750 };
/** Calls sent closer together than this are one proof of silence, in milliseconds: one lost connection ends them all. */
const SAME_PROOF_MS = 100;
/** Proofs on end of no answer after which the coordinator is asked seldom. */
const SILENCES_TO_DOUBT = 3;
/** Time between two calls while it doesn't answer, in milliseconds: a coordinator is replaced within a few of these. */
const PROBE_PAUSE_MS = 1000;

/**
 * Believes that the coordinator answers until several calls on end got no answer; then lets one call through from time to
 * time, until one is answered: a coordinator that is short of processor isn't asked the same by every VM again and again.
 */
export class CoordinatorTrust {
    private silences = 0;
    private doubtedAtMs: number | undefined;
    private probedAtMs = -Infinity;
    private provedAtMs = -Infinity;
    private readonly timeout = new AdaptiveTimeout(WAITS);

    /** @param purpose Of the calls, for log lines. */
    constructor(
        private readonly clock: Clock,
        private readonly logger: EventLogger,
        private readonly purpose: string,
    ) {}

    /** How long an answer is waited for before another way is tried besides, in milliseconds. */
    get waitMs(): number {
        return this.doubtedAtMs === undefined ? this.timeout.currentMs : 0;
    }

    /** Lets a call through, or not. */
    admitCall(): boolean {
        const nowMs = this.clock.getNow();
        if (this.doubtedAtMs !== undefined && nowMs - this.probedAtMs < PROBE_PAUSE_MS) {
            return false;
        }
        this.probedAtMs = nowMs;
        return true;
    }

    /** Notes an answer. */
    noteAnswer(tookMs: number): void {
        this.timeout.noteAnswer(tookMs);
        this.silences = 0;
        if (this.doubtedAtMs !== undefined) {
            const afterMs = Math.round(this.clock.getNow() - this.doubtedAtMs);
            this.doubtedAtMs = undefined;
            this.logger.info("coordinator-trusted", { purpose: this.purpose, afterMs });
        }
    }

    /**
     * Notes that no answer came in time.
     *
     * @param sentAtMs When the call was sent, in steady milliseconds.
     */
    noteSilence(sentAtMs: number): void {
        if (sentAtMs - this.provedAtMs < SAME_PROOF_MS) {
            return;
        }
        this.provedAtMs = sentAtMs;
        this.silences++;
        if (this.doubtedAtMs === undefined && this.silences >= SILENCES_TO_DOUBT) {
            this.doubtedAtMs = this.clock.getNow();
            this.logger.warn("coordinator-doubted", { purpose: this.purpose, silences: this.silences });
        }
    }
}
