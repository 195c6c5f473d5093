import type { Urgency } from "@sardinestage/types";
import type { IncomingHttpHeaders } from "node:http";
import type { RequestBody } from "./requestBody.js";

/** One caller's request, checked. */
export interface RequestContext {
    readonly service: string;
    readonly method: string;
    /** Path and query as the target sees them. */
    readonly path: string;
    readonly headers: IncomingHttpHeaders;
    readonly requestId: string;
    readonly isIdempotent: boolean;
    /** Where the id of a non-idempotent request is decided on. */
    readonly homeDomain: string | undefined;
    readonly urgency: Urgency;
    readonly team: string;
    /** Monotonic milliseconds. */
    readonly deadlineAtMs: number;
    /** It came from another entry, and is not passed on again. */
    readonly isForwarded: boolean;
    /** Its id was reserved by the entry that passed it on. */
    readonly isReserved: boolean;
    readonly body: RequestBody;
    /** Aborts when the caller goes away. */
    readonly signal: AbortSignal;
}
