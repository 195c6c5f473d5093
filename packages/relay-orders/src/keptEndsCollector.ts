import type { Clock } from "@sardinestage/describe-ports";
import { waitFor } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";
import type { KeptEnds } from "./keptEnds.js";
import { RelayOutcome } from "./relayOutcome.js";
import type { RelayReply } from "./relayReply.js";
import type { RelayRequest } from "./relayRequest.js";
import type { RelayVm } from "./relayVm.js";

/** Timeout of a question for ends, in milliseconds: short, as the leases lapse within seconds. */
const QUESTION_TIMEOUT_MS = 500;
/** Pause between two questions, in milliseconds: a worker may answer the relay after the first of them. */
const QUESTION_PAUSE_MS = 300;
/** After this time the leases that weren't renewed have lapsed, in milliseconds. */
const COLLECT_MS = 4500;

/** Dependencies of a collector. */
interface KeptEndsCollectorParts {
    /** The coordinator's term. */
    readonly term: number;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Sends a request to a relay; returns undefined if no reply comes within the timeout. */
    readonly sendRequest: (
        relay: RelayVm,
        request: RelayRequest,
        timeoutMs: number,
    ) => Promise<RelayReply | undefined>;
    /** Whether this process still holds the term. */
    readonly isTermHeld: () => boolean;
}

/** Asks relays for the ends that workers told them in sessions which have closed. */
export class KeptEndsCollector {
    constructor(private readonly parts: KeptEndsCollectorParts, private readonly kept: KeptEnds) {}

    /** Asks a relay for the ends of these workers until their leases have lapsed, or the relay keeps no ends. */
    async collectEnds(relay: RelayVm, session: string, workers: readonly string[]): Promise<void> {
        const { clock, logger, term, sendRequest, isTermHeld } = this.parts;
        let replies = 0;
        let ends = 0;
        const untilMs = clock.getNow() + COLLECT_MS;
        while (clock.getNow() < untilMs && isTermHeld()) {
            const request: RelayRequest = {
                term,
                session,
                isOpening: false,
                sentAtMs: clock.getWallTime(),
                gatherMs: 0,
                payloads: [],
                calls: [],
                endsOf: workers,
            };
            const reply = await sendRequest(relay, request, QUESTION_TIMEOUT_MS);
            if (reply !== undefined && (reply.outcome !== RelayOutcome.Accepted || reply.keptEnds === undefined)) {
                break;
            }
            if (reply?.keptEnds !== undefined) {
                reply.keptEnds.forEach(({ worker, bornMs, ended }) => this.kept.remember(worker, bornMs, ended));
                replies++;
                ends = reply.keptEnds.reduce((sum, { ended }) => sum + ended.length, 0);
            }
            await waitFor(clock, QUESTION_PAUSE_MS);
        }
        logger.info("relay-ends-collected", { vm: relay.vm, session, workers: workers.length, replies, ends });
    }
}
