import type { EndsOfLife } from "./endsOfLife.js";
import type { RelayOutcome } from "./relayOutcome.js";

/** A relay's reply to one request of the coordinator. */
export interface RelayReply {
    readonly outcome: RelayOutcome;
    /** The usual delay of the relay's event loop, in milliseconds. */
    readonly loopDelayMs: number;
    /** Answers to calls of this or of earlier requests, as `encodeReport` and `encodeOutcome` encode them. */
    readonly answers: readonly unknown[];
    /**
     * Whether the relay passes each call's own fencing token on; only in the reply to a request that opens a session. A
     * relay of an earlier version doesn't say so, and sends the term as the token of every call.
     */
    readonly carriesFences?: boolean;
    /** The ends that the relay keeps of the workers asked about; missing if it is of an earlier version. */
    readonly keptEnds?: readonly EndsOfLife[];
}
