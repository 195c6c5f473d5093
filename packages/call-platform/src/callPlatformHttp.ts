import { describeFailure, ErrorKind, RunEffect, StageError } from "@sardinestage/errors";
import got, { HTTPError } from "got";
import { Agent } from "node:http";
import type { Result } from "ts-results";
import tsResults from "ts-results";

const { Err, Ok } = tsResults;
const agent = { http: new Agent({ keepAlive: true, maxSockets: 256 }) };

/** One HTTP call of the platform with JSON bodies. */
interface PlatformCall {
    readonly method: "GET" | "POST";
    readonly url: string;
    readonly body?: unknown;
    readonly timeoutMs: number;
    /** Error kind reported when the platform doesn't answer or is overloaded. */
    readonly unavailableKind: ErrorKind;
}

/**
 * Calls the platform once, without retries, because only the caller knows whether the call is safe to repeat.
 *
 * @param call Method, URL, body and timeout of the call.
 * @returns The decoded answer; `StaleToken`, `LeaseHeld` or `WorkerRefused` when the call is refused; otherwise an
 *     error of the kind `call.unavailableKind`.
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
        call.unavailableKind,
        `The platform did not answer ${call.url}: ${describeFailure(failure)}.`,
        "The call is retried; check the platform if the failure persists.",
        RunEffect.MayHaveRun,
    );
}

function convertRefusal(call: PlatformCall, failure: HTTPError): StageError {
    const detail = `The platform refused ${call.url}: ${String(failure.response.body).slice(0, 200)}.`;
    switch (failure.response.statusCode) {
        case 409:
            return new StageError(ErrorKind.LeaseHeld, detail, "Wait until the lease has expired.");
        case 410:
            return new StageError(ErrorKind.StaleToken, detail, "Acquire the lease again.");
        case 429:
            return new StageError(call.unavailableKind, detail, "Reduce the rate of calls.");
        default:
            return new StageError(ErrorKind.WorkerRefused, detail, "Correct the call according to the reason given.");
    }
}
