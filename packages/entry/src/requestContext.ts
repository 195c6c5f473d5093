import type { Urgency } from "@sardinestage/types";
import type { IncomingHttpHeaders } from "node:http";
import type { RequestBody } from "./requestBody.js";

/** One caller's request whose headers have been checked. */
export interface RequestContext {
    readonly service: string;
    readonly method: string;
    /** Path and query, passed to the target unchanged. */
    readonly path: string;
    readonly headers: IncomingHttpHeaders;
    readonly requestId: string;
    readonly isIdempotent: boolean;
    /** Failure domain whose entries reserve the id of a non-idempotent request. */
    readonly homeDomain: string | undefined;
    readonly urgency: Urgency;
    readonly team: string;
    /** Monotonic time in milliseconds. */
    readonly deadlineAtMs: number;
    /** Whether another entry forwarded the request. A forwarded request is not forwarded again. */
    readonly isForwarded: boolean;
    /** Whether the entry that forwarded the request has reserved its id. */
    readonly isReserved: boolean;
    readonly body: RequestBody;
    /** Aborts when the caller's connection closes. */
    readonly signal: AbortSignal;
}
