import got, { RequestError, TimeoutError } from "got";
import { Agent } from "node:http";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import { headerNames } from "./headerNames.js";
import type { RequestBody } from "./requestBody.js";
import { TryEnd } from "./tryEnd.js";
import type { TryResult } from "./tryResult.js";

/**
 * Responses up to this size are buffered whole before any byte is sent to the caller, so that the request can be
 * retried if the response is cut off.
 */
const MAX_BUFFERED_BYTES = 65_536;
const CONNECT_TIMEOUT_MS = 1_000;
const MAX_SOCKETS_PER_TARGET = 256;
/** Hop-by-hop headers, credentials, and headers that are set anew for each hop. */
const UNFORWARDED_HEADERS = new Set([
    "connection",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
    "host",
    "authorization",
    "te",
    "trailer",
    "proxy-authorization",
    "proxy-authenticate",
    "content-length",
    headerNames.peerKey,
    headerNames.forwardedTeam,
    headerNames.reserved,
]);

const keepAliveAgent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS_PER_TARGET });
const newConnectionAgent = new Agent({ keepAlive: false });

/** Request, timeouts and connection of one try. */
interface TryOptions {
    readonly url: string;
    readonly method: string;
    readonly headers: IncomingHttpHeaders;
    /** Headers that replace the caller's headers of the same name. */
    readonly extraHeaders: Readonly<Record<string, string>>;
    readonly body: RequestBody;
    /**
     * Whether to open a new connection. A kept-alive connection may have stopped responding, so retries and requests
     * that must not run twice use a new one.
     */
    readonly needsNewConnection: boolean;
    /** Time left until the deadline, in milliseconds. */
    readonly remainingMs: number;
    /** Longest wait for the beginning of the response, in milliseconds. */
    readonly firstByteMs: number;
    /** Longest time without traffic on the connection, in milliseconds. */
    readonly idleMs: number;
    readonly signal: AbortSignal;
}

/**
 * Sends a request once and reads the response.
 *
 * @returns How the try ended, with the response if there is one. A response of more than 64 KiB is returned as its
 * beginning and a stream of the rest.
 */
export async function sendTry(options: TryOptions): Promise<TryResult> {
    const request = got.stream(options.url, {
        method: options.method as "GET",
        headers: { ...removeUnforwardedHeaders(options.headers), ...options.extraHeaders },
        body: options.body.isWhole && options.body.bytes.length > 0 ? options.body.bytes : undefined,
        allowGetBody: true,
        agent: { http: options.needsNewConnection ? newConnectionAgent : keepAliveAgent },
        throwHttpErrors: false,
        followRedirect: false,
        decompress: false,
        retry: { limit: 0 },
        timeout: {
            connect: CONNECT_TIMEOUT_MS,
            response: options.firstByteMs,
            socket: options.idleMs,
            request: Math.max(1, options.remainingMs),
        },
        signal: options.signal,
    });
    const sending = options.body.isWhole ? undefined : pipeline(options.body.stream, request).catch(() => undefined);
    if (options.body.isWhole && options.body.bytes.length === 0) {
        request.end();
    }
    try {
        return await readAnswer(request);
    }
    catch (failure) {
        void sending;
        request.destroy();
        const end = options.signal.aborted ? TryEnd.Aborted : convertFailure(failure);
        if (end === TryEnd.Silent) {
            dropIdleConnections(options.url);
        }
        return { end };
    }
}

/** Closes the idle connections to a target. When one connection stops responding, the others are probably lost too. */
function dropIdleConnections(url: string): void {
    const { host } = new URL(url);
    for (const [name, sockets] of Object.entries(keepAliveAgent.freeSockets)) {
        if (name.startsWith(`${host}:`)) {
            sockets?.forEach(socket => socket.destroy());
        }
    }
}

async function readAnswer(request: Readable): Promise<TryResult> {
    const response = await new Promise<IncomingMessage>((resolve, reject) => {
        request.once("response", resolve);
        request.once("error", reject);
    });
    const status = response.statusCode ?? 502;
    const headers = removeUnforwardedHeaders(response.headers);
    if (status === 503 && response.headers[headerNames.notRun] === "true") {
        request.resume();
        return { end: TryEnd.RefusedByTarget };
    }
    const chunks: Buffer[] = [];
    let size = 0;
    const iterator = request.iterator({ destroyOnReturn: false }) as AsyncIterableIterator<Buffer>;
    for (;;) {
        const { value, done } = await iterator.next() as IteratorResult<Buffer, undefined>;
        if (done) {
            return { end: TryEnd.Answered, reply: { isAnswer: true, status, headers, bytes: Buffer.concat(chunks) } };
        }
        chunks.push(value);
        size += value.length;
        if (size > MAX_BUFFERED_BYTES) {
            const bytes = Buffer.concat(chunks);
            const rest = Readable.from(iterator, { objectMode: false });
            rest.once("close", () => request.destroy());
            return { end: TryEnd.Answered, reply: { isAnswer: true, status, headers, bytes, rest } };
        }
    }
}

function convertFailure(failure: unknown): TryEnd {
    if (failure instanceof TimeoutError) {
        return failure.event === "connect" ? TryEnd.NotSent : TryEnd.Silent;
    }
    const code = failure instanceof RequestError ? failure.code : "";
    return ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL"].includes(code)
        ? TryEnd.NotSent
        : TryEnd.Lost;
}

function removeUnforwardedHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
    return Object.fromEntries(Object.entries(headers).filter(([name]) => !UNFORWARDED_HEADERS.has(name)));
}
