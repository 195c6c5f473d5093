import type { RequestOutcome } from "@sardinestage/types";
import got from "got";
import { Agent } from "node:http";
import type { CallerAnswer } from "./callerAnswer.js";
import { standInKeys } from "./standInKeys.js";

const agent = { http: new Agent({ keepAlive: true, maxSockets: 2_000 }) };
/** Time that the caller waits for an answer beyond the request's deadline. */
const CALLER_MARGIN_MS = 2_000;

/** Request of a simulated caller; absent fields get defaults. */
interface CallerRequest {
    readonly port: number;
    readonly service: string;
    readonly requestId: string;
    readonly isIdempotent: boolean;
    readonly homeDomain?: string;
    readonly deadlineMs?: number;
    readonly urgency?: number;
    readonly body?: Buffer;
    readonly key?: string;
}

/** Sends a request to an entry once and reads the whole answer; a broken connection is reported, not thrown. */
export async function sendRequest(request: CallerRequest): Promise<CallerAnswer> {
    const startedAtMs = performance.now();
    const deadlineMs = request.deadlineMs ?? 3_000;
    try {
        const answer = await got.post(`http://127.0.0.1:${request.port}/services/${request.service}/call`, {
            agent,
            body: request.body ?? Buffer.from(request.requestId),
            headers: {
                "authorization": `Bearer ${request.key ?? standInKeys.caller}`,
                "x-request-id": request.requestId,
                "x-idempotent": String(request.isIdempotent),
                "x-deadline-ms": String(deadlineMs),
                "x-urgency": String(request.urgency ?? 1),
                ...(request.homeDomain === undefined ? {} : { "x-home-domain": request.homeDomain }),
            },
            retry: { limit: 0 },
            throwHttpErrors: false,
            timeout: { request: deadlineMs + CALLER_MARGIN_MS },
            responseType: "buffer",
        });
        return {
            outcome: answer.headers["x-outcome"] as RequestOutcome,
            reason: String(answer.headers["x-reason"] ?? ""),
            status: answer.statusCode,
            body: answer.body,
            headers: answer.headers,
            latencyMs: performance.now() - startedAtMs,
        };
    }
    catch (failure) {
        const reason = failure instanceof Error ? failure.message : String(failure);
        const latencyMs = performance.now() - startedAtMs;
        return { outcome: undefined, reason, status: 0, body: Buffer.alloc(0), headers: {}, latencyMs };
    }
}
