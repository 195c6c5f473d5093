import { describeFailure, ErrorKind, RunEffect, StageError } from "@sardinestage/errors";
import got, { HTTPError } from "got";
import { Agent } from "node:http";
import type { Result } from "ts-results";
import tsResults from "ts-results";

const { Err, Ok } = tsResults;
const agent = { http: new Agent({ keepAlive: true, maxSockets: 256 }) };

/** One call of the platform over HTTP with JSON bodies. */
interface PlatformCall {
    readonly method: "GET" | "POST";
    readonly url: string;
    readonly body?: unknown;
    readonly timeoutMs: number;
    /** The kind reported when the platform doesn't answer. */
    readonly unavailable: ErrorKind;
}

/**
 * Calls the platform once; retrying is up to the caller, who knows what is safe to repeat.
 *
 * @param call What to ask.
 * @returns The decoded answer; `StaleToken`, `LeaseHeld` or `WorkerRefused` when refused; else `call.unavailable`.
 */
export async function callPlatformHttp(call: PlatformCall): Promise<Result<unknown, StageError>> {
    try {
        const answer: unknown = await got(call.url, {
            method: call.method,
            json: call.body as object | undefined,
            agent,
            retry: { limit: 0 },
            timeout: { request: call.timeoutMs },
        }).json();
        return Ok(answer);
    }
    catch (failure) {
        return Err(convertFailure(call, failure));
    }
}

function convertFailure(call: PlatformCall, failure: unknown): StageError {
    if (failure instanceof HTTPError && failure.response.statusCode < 500) {
        return convertRefusal(call, failure);
    }
    return new StageError(
        call.unavailable,
        `The platform did not answer ${call.url}: ${describeFailure(failure)}.`,
        "The call is tried again; check the platform if this goes on.",
        RunEffect.MayHaveRun,
    );
}

function convertRefusal(call: PlatformCall, failure: HTTPError): StageError {
    const detail = `The platform refused ${call.url}: ${String(failure.response.body).slice(0, 200)}.`;
    switch (failure.response.statusCode) {
        case 409:
            return new StageError(ErrorKind.LeaseHeld, detail, "Wait until the lease has lapsed.");
        case 410:
            return new StageError(ErrorKind.StaleToken, detail, "Acquire the lease anew.");
        case 429:
            return new StageError(call.unavailable, detail, "Lower the rate of calls.");
        default:
            return new StageError(ErrorKind.WorkerRefused, detail, "Read the reason and correct the call.");
    }
}
