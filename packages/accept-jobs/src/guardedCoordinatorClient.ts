import type { Clock } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";
import type { CoordinatorCall } from "./coordinatorCall.js";
import { CoordinatorCircuitBreaker } from "./coordinatorCircuitBreaker.js";
import type { CoordinatorClient } from "./coordinatorClient.js";
import type { CoordinatorReply } from "./coordinatorReply.js";

/**
 * How long a call stays open, in milliseconds, even if no caller waits for it any longer. Aborting a call closes its
 * connection with all other calls on it, and a busy coordinator serves new connections last.
 */
const CALL_TIMEOUT_MS = 3000;

/** Dependencies and settings of `GuardedCoordinatorClient`. */
interface GuardedCoordinatorClientParts {
    readonly coordinatorClient: CoordinatorClient;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Purpose of the calls, for log lines. */
    readonly purpose: string;
    /** A call that takes longer counts as unanswered for the circuit breaker, in milliseconds. */
    readonly answerTimeoutMs: number;
    /**
     * A call without effect that finds out whether a coordinator answers again. Without it, single calls of the callers
     * find out, whose outcome is unknown if none does.
     */
    readonly probe?: CoordinatorCall;
}

/** Calls the coordinator through a circuit breaker: while the coordinator doesn't answer, few calls are sent to it. */
export class GuardedCoordinatorClient {
    private readonly circuitBreaker: CoordinatorCircuitBreaker;

    constructor(private readonly parts: GuardedCoordinatorClientParts) {
        this.circuitBreaker = new CoordinatorCircuitBreaker(parts.clock, parts.logger, parts.purpose);
    }

    /** Wait for an answer before a fallback starts in parallel, in milliseconds; 0 while the circuit is open. */
    get hedgeDelayMs(): number {
        return this.circuitBreaker.hedgeDelayMs;
    }

    /** Calls the coordinator. The reply has `isUnsent` if the circuit is open, and is undefined if no answer comes. */
    async call(call: CoordinatorCall): Promise<CoordinatorReply | undefined> {
        const { probe } = this.parts;
        if (!this.circuitBreaker.admitCall()) {
            return { isUnsent: true, isCircuitOpen: true };
        }
        if (this.circuitBreaker.isOpen && probe !== undefined) {
            void this.send(probe);
            return { isUnsent: true, isCircuitOpen: true };
        }
        return this.send(call);
    }

    private async send(call: CoordinatorCall): Promise<CoordinatorReply | undefined> {
        const { coordinatorClient, clock, answerTimeoutMs } = this.parts;
        const sentAtMs = clock.getNow();
        const cancel = clock.schedule(answerTimeoutMs, () => this.circuitBreaker.noteTimeout(sentAtMs));
        const reply = await coordinatorClient.call(call, CALL_TIMEOUT_MS);
        cancel();
        const tookMs = clock.getNow() - sentAtMs;
        if (reply === undefined && tookMs < answerTimeoutMs) {
            this.circuitBreaker.noteTimeout(sentAtMs);
        }
        else if (
            reply !== undefined && reply.isUnsent !== true && reply.isUnsure !== true && tookMs < answerTimeoutMs
        ) {
            this.circuitBreaker.noteAnswer(tookMs);
        }
        return reply;
    }
}
