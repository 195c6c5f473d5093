#!/usr/bin/env node
import express from "express";
import got from "got";
import { Agent } from "node:http";

/** The baseline of the `path` scenario: a proxy that uses express and got and applies no policy. */
const [port, targetPort] = process.argv.slice(2).map(Number);
const agent = { http: new Agent({ keepAlive: true }) };
const app = express();
app.disable("x-powered-by");
app.use(express.raw({ type: () => true, limit: "10mb" }));
app.use(async (request, response) => {
    const answer = await got(`http://127.0.0.1:${targetPort}${request.url}`, {
        method: request.method as "POST",
        headers: { "x-request-id": String(request.headers["x-request-id"]), "x-idempotent": "true" },
        body: request.body as Buffer,
        agent,
        throwHttpErrors: false,
        retry: { limit: 0 },
        responseType: "buffer",
        decompress: false,
    });
    response.writeHead(answer.statusCode, { "x-outcome": "answered", ...pickHeaders(answer.headers) }).end(answer.body);
});
app.listen(port, "127.0.0.1");

function pickHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> {
    return { "x-request-id": String(headers["x-request-id"]) };
}
