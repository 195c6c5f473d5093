import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { JsonAnswer } from "./jsonAnswer.js";

/** Handles one call; `undefined` leaves the call unanswered. */
type JsonHandler = (path: string, query: URLSearchParams, body: unknown) => Promise<JsonAnswer> | JsonAnswer;

/**
 * Serves JSON over HTTP on 127.0.0.1. If the handler returns `undefined`, the connection stays open without an answer.
 *
 * @returns The listening server.
 */
export function serveJson(port: number, handle: JsonHandler): Promise<Server> {
    const server = createServer((request, response) => void answerCall(request, response, handle));
    server.keepAliveTimeout = 60_000;
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}

async function answerCall(request: IncomingMessage, response: ServerResponse, handle: JsonHandler): Promise<void> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        return;
    }
    const url = new URL(request.url ?? "/", "http://stand-in");
    const body: unknown = chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString());
    const answer = await handle(url.pathname, url.searchParams, body);
    if (answer !== undefined && !response.destroyed) {
        response.writeHead(answer.status, { "content-type": "application/json" });
        response.end(JSON.stringify(answer.body));
    }
}
