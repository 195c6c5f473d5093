import type { Clock } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";
import type { CoordinatorCall } from "./coordinatorCall.js";
import type { CoordinatorLine } from "./coordinatorLine.js";
import type { CoordinatorReply } from "./coordinatorReply.js";
import { CoordinatorTrust } from "./coordinatorTrust.js";

/**
 * How long a call is kept open, in milliseconds, whoever still waits for it: giving it up costs the connection with all the
 * other calls on it, and a busy coordinator serves new connections last.
 */
const CALL_TIMEOUT_MS = 3000;

/** What a trusted line works with. */
interface TrustedLineParts {
    readonly line: CoordinatorLine;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Of the calls, for log lines. */
    readonly purpose: string;
    /** An answer that takes longer is taken for none, in milliseconds. */
    readonly silentAfterMs: number;
}

/** Calls the coordinator, and seldom while it doesn't answer. */
export class TrustedLine {
    private readonly trust: CoordinatorTrust;

    constructor(private readonly parts: TrustedLineParts) {
        this.trust = new CoordinatorTrust(parts.clock, parts.logger, parts.purpose);
    }

    /** How long an answer is waited for before another way is tried besides, in milliseconds; 0 in doubt. */
    get waitMs(): number {
        return this.trust.waitMs;
    }

    /** Calls the coordinator; unsent where it isn't asked now, undefined where it doesn't answer at all. */
    async call(call: CoordinatorCall): Promise<CoordinatorReply | undefined> {
        const { line, clock, silentAfterMs } = this.parts;
        if (!this.trust.admitCall()) {
            return { isUnsent: true };
        }
        const sentAtMs = clock.getNow();
        const cancel = clock.schedule(silentAfterMs, () => this.trust.noteSilence(sentAtMs));
        const reply = await line.call(call, CALL_TIMEOUT_MS);
        cancel();
        const tookMs = clock.getNow() - sentAtMs;
        if (reply === undefined && tookMs < silentAfterMs) {
            this.trust.noteSilence(sentAtMs);
        }
        else if (reply !== undefined && reply.isUnsent !== true && reply.isUnsure !== true && tookMs < silentAfterMs) {
            this.trust.noteAnswer(tookMs);
        }
        return reply;
    }
}
