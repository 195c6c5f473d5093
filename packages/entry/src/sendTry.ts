import got, { RequestError, TimeoutError } from "got";
import { Agent } from "node:http";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import { headerNames } from "./headerNames.js";
import type { RequestBody } from "./requestBody.js";
import { TryEnd } from "./tryEnd.js";
import type { TryResult } from "./tryResult.js";

/** Answers up to this size are kept whole before a byte goes to the caller, so that a lost one can be asked for again. */
const KEPT_BYTES = 65_536;
const CONNECT_MS = 1_000;
const MAX_SOCKETS_PER_TARGET = 256;
const HOP_HEADERS = new Set([
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

const keptAgent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS_PER_TARGET });
const freshAgent = new Agent({ keepAlive: false });

/** One try. */
interface TryOrder {
    readonly url: string;
    readonly method: string;
    readonly headers: IncomingHttpHeaders;
    /** Set over the caller's. */
    readonly extraHeaders: Readonly<Record<string, string>>;
    readonly body: RequestBody;
    /** An open connection can have gone silent: retries, and requests that must not run twice, get a new one. */
    readonly isConnectionFresh: boolean;
    readonly remainingMs: number;
    readonly firstByteMs: number;
    readonly idleMs: number;
    readonly signal: AbortSignal;
}

/** Sends a request once and reads the answer, or its beginning when it is large. */
export async function sendTry(order: TryOrder): Promise<TryResult> {
    const request = got.stream(order.url, {
        method: order.method as "GET",
        headers: { ...removeHopHeaders(order.headers), ...order.extraHeaders },
        body: order.body.isWhole && order.body.bytes.length > 0 ? order.body.bytes : undefined,
        allowGetBody: true,
        agent: { http: order.isConnectionFresh ? freshAgent : keptAgent },
        throwHttpErrors: false,
        followRedirect: false,
        decompress: false,
        retry: { limit: 0 },
        timeout: {
            connect: CONNECT_MS,
            response: order.firstByteMs,
            socket: order.idleMs,
            request: Math.max(1, order.remainingMs),
        },
        signal: order.signal,
    });
    const sending = order.body.isWhole ? undefined : pipeline(order.body.stream, request).catch(() => undefined);
    if (order.body.isWhole && order.body.bytes.length === 0) {
        request.end();
    }
    try {
        return await readAnswer(request);
    }
    catch (failure) {
        void sending;
        request.destroy();
        const end = order.signal.aborted ? TryEnd.Aborted : convertFailure(failure);
        if (end === TryEnd.Silent) {
            dropIdleConnections(order.url);
        }
        return { end };
    }
}

/** What made one connection to a target go silent has likely lost the others too. */
function dropIdleConnections(url: string): void {
    const { host } = new URL(url);
    for (const [name, sockets] of Object.entries(keptAgent.freeSockets)) {
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
    const headers = removeHopHeaders(response.headers);
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
        if (size > KEPT_BYTES) {
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

function removeHopHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
    return Object.fromEntries(Object.entries(headers).filter(([name]) => !HOP_HEADERS.has(name)));
}
