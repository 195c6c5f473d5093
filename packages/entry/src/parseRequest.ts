import { RefusalReason } from "@sardinestage/admit-requests";
import { Urgency } from "@sardinestage/types";
import { randomUUID, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { Result } from "ts-results";
import tsResults from "ts-results";
import type { EntrySettings } from "./entrySettings.js";
import { headerNames } from "./headerNames.js";
import type { RequestContext } from "./requestContext.js";

const { Err, Ok } = tsResults;
const IDEMPOTENT_METHODS = new Set(["GET", "HEAD", "PUT", "DELETE", "OPTIONS"]);
const REQUEST_ID = /^[\w.:-]{1,200}$/;

/** Why a request is refused after its headers were checked. */
interface ParseFailure {
    readonly reason: RefusalReason;
    readonly detail: string;
}

type RequestHead = Omit<RequestContext, "body" | "signal">;

/**
 * Checks a request's headers and converts them.
 *
 * @param service The service named by the path.
 * @param nowMs The current monotonic time in milliseconds.
 * @returns The request without its body, or the reason for refusing it. Nothing has run yet.
 */
export function parseRequest(
    request: IncomingMessage,
    service: string,
    settings: EntrySettings,
    nowMs: number,
): Result<RequestHead, ParseFailure> {
    const { headers } = request;
    const isForwarded = isSameKey(headers[headerNames.peerKey], settings.peers.key);
    const team = isForwarded ? String(headers[headerNames.forwardedTeam]) : findTeam(headers.authorization, settings);
    if (team === undefined) {
        return createFailure("the key is missing or unknown", RefusalReason.Unauthenticated);
    }
    const method = request.method ?? "GET";
    const idempotent = headers[headerNames.idempotent] ?? String(IDEMPOTENT_METHODS.has(method));
    if (idempotent !== "true" && idempotent !== "false") {
        return createFailure(`${headerNames.idempotent} is neither true nor false`);
    }
    const isIdempotent = idempotent === "true";
    const homeDomain = readHeader(headers[headerNames.homeDomain]);
    const requestId = readHeader(headers[headerNames.requestId]) ?? (isIdempotent ? randomUUID() : undefined);
    if (requestId === undefined || !REQUEST_ID.test(requestId)) {
        return createFailure(`a non-idempotent request needs a UUID of version 7 in ${headerNames.requestId}`);
    }
    if (!isIdempotent && homeDomain === undefined) {
        return createFailure(`a non-idempotent request needs its failure domain in ${headerNames.homeDomain}`);
    }
    const deadlineMs = Number(headers[headerNames.deadlineMs] ?? settings.entry.defaultDeadlineMs);
    if (!(deadlineMs > 0 && deadlineMs <= settings.entry.maxDeadlineMs)) {
        return createFailure(`${headerNames.deadlineMs} is not between 0 and ${settings.entry.maxDeadlineMs}`);
    }
    const urgency = Number(headers[headerNames.urgency] ?? Urgency.Normal);
    if (Urgency[urgency] === undefined) {
        return createFailure(`${headerNames.urgency} is not one of 0, 1, 2, 3`);
    }
    const deadlineAtMs = nowMs + deadlineMs;
    const isReserved = isForwarded && headers[headerNames.reserved] === "true";
    const path = request.url ?? "/";
    return Ok({
        service,
        method,
        path,
        headers,
        requestId,
        isIdempotent,
        homeDomain,
        urgency,
        team,
        deadlineAtMs,
        isForwarded,
        isReserved,
    });
}

function createFailure(detail: string, reason = RefusalReason.Malformed): Err<ParseFailure> {
    return Err({ reason, detail });
}

type Err<T> = ReturnType<typeof Err<T>>;

function readHeader(value: string | string[] | undefined): string | undefined {
    return typeof value === "string" && value !== "" ? value : undefined;
}

function findTeam(authorization: string | undefined, settings: EntrySettings): string | undefined {
    const key = /^Bearer (.+)$/.exec(authorization ?? "")?.[1];
    return settings.callers.find(caller => isSameKey(key, caller.key))?.team;
}

/** Compares two keys in constant time. */
function isSameKey(given: string | string[] | undefined, expected: string): boolean {
    const bytes = Buffer.from(typeof given === "string" ? given : "");
    const wanted = Buffer.from(expected);
    return bytes.length === wanted.length && timingSafeEqual(bytes, wanted);
}
