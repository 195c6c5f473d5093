import type { RequestOutcome } from "@sardinestage/types";

/** Result of a request as its caller received it. */
export interface CallerAnswer {
    /** `undefined` if the connection broke or timed out before the answer was complete. */
    readonly outcome: RequestOutcome | undefined;
    readonly reason: string;
    readonly status: number;
    readonly body: Buffer;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    /** Time from sending the request to the end of the answer or the failure, in milliseconds. */
    readonly latencyMs: number;
}
