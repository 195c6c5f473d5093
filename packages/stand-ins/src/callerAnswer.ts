import type { RequestOutcome } from "@sardinestage/types";

/** What a caller got. */
export interface CallerAnswer {
    /** `undefined` when the connection broke before the answer was whole. */
    readonly outcome: RequestOutcome | undefined;
    readonly reason: string;
    readonly status: number;
    readonly body: Buffer;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly latencyMs: number;
}
