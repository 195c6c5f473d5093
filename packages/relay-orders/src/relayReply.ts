import type { RelayOutcome } from "./relayOutcome.js";

/** A relay's reply to one request of the coordinator. */
export interface RelayReply {
    readonly outcome: RelayOutcome;
    /** The usual delay of the relay's event loop, in milliseconds. */
    readonly loopDelayMs: number;
    /** Answers to calls of this or of earlier requests, as `encodeReport` and `encodeOutcome` encode them. */
    readonly answers: readonly unknown[];
}
