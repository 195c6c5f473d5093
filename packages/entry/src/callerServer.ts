import { RefusalReason } from "@sardinestage/admit-requests";
import type { Metrics } from "@sardinestage/count-metrics";
import { RequestOutcome } from "@sardinestage/types";
import type { NextFunction, Request, Response } from "express";
import express from "express";
import type { Server } from "node:http";
import { pipeline } from "node:stream/promises";
import { describeRefusal } from "./describeRefusal.js";
import type { EntrySettings } from "./entrySettings.js";
import { headerNames } from "./headerNames.js";
import { parseRequest } from "./parseRequest.js";
import { readRequestBody } from "./readRequestBody.js";
import type { Reply } from "./reply.js";
import type { RequestContext } from "./requestContext.js";

interface CallerServerOptions {
    readonly settings: EntrySettings;
    readonly metrics: Metrics;
    readonly now: () => number;
    /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
    readonly pickRandom: () => number;
    /** Runs a checked request and resolves with the reply to the caller. */
    readonly run: (context: RequestContext) => Promise<Reply>;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** The HTTP server for callers. Answers each request with the target's response, or with a typed refusal as JSON. */
export class CallerServer {
    private server: Server | undefined;
    private inProgress = 0;
    private isDraining = false;
    private handleIdle: () => void = () => {};

    constructor(private readonly options: CallerServerOptions) {}

    /** Starts listening. Rejects with the operating system's error when the port is in use. */
    listen(): Promise<void> {
        const app = express();
        app.disable("x-powered-by");
        app.disable("etag");
        app.use((request, response, next) => this.takeRequest(request, response, next));
        const { process, entry } = this.options.settings;
        return new Promise((resolve, reject) => {
            this.server = app.listen(entry.callerPort, process.address, failure => {
                if (failure === undefined) {
                    resolve();
                }
                else {
                    reject(failure);
                }
            });
        });
    }

    /** Returns the number of requests in progress. */
    getInProgress(): number {
        return this.inProgress;
    }

    /** Refuses new requests and waits until those in progress are answered, at most `limitMs` milliseconds. */
    async drain(limitMs: number): Promise<void> {
        this.isDraining = true;
        this.server?.close();
        if (this.inProgress > 0) {
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, limitMs);
                this.handleIdle = () => {
                    clearTimeout(timer);
                    resolve();
                };
            });
        }
        this.server?.closeAllConnections();
    }

    private takeRequest(request: Request, response: Response, next: NextFunction): void {
        this.inProgress++;
        const startedAtMs = this.options.now();
        this.answerRequest(request, response, startedAtMs).catch(next).finally(() => {
            this.inProgress--;
            this.options.metrics.recordDuration("request", this.options.now() - startedAtMs);
            if (this.inProgress === 0) {
                this.handleIdle();
            }
        });
    }

    private async answerRequest(request: Request, response: Response, nowMs: number): Promise<void> {
        const { settings, run } = this.options;
        const service = /^\/services\/([^/?]+)/.exec(request.url)?.[1];
        const head = parseRequest(request, service ?? "", settings, nowMs);
        if (head.err) {
            return this.refuse(response, head.val.reason, head.val.detail);
        }
        if (service === undefined) {
            return this.refuse(response, RefusalReason.UnknownService, "the path does not begin with /services/NAME");
        }
        if (this.isDraining || this.inProgress > settings.entry.maxRequests) {
            return this.refuse(response, this.isDraining ? RefusalReason.Draining : RefusalReason.TooManyRequests);
        }
        const aborter = new AbortController();
        response.once("close", () => aborter.abort());
        const body = await readRequestBody(request, settings.entry.maxBodyBytes);
        if (body === undefined) {
            request.resume();
            return this.refuse(response, RefusalReason.BodyTooLarge);
        }
        const reply = await run({ ...head.val, body, signal: aborter.signal });
        return reply.isAnswer
            ? this.sendAnswer(response, reply, head.val.requestId)
            : this.refuse(response, reply.reason, reply.detail);
    }

    private async sendAnswer(
        response: Response,
        reply: Extract<Reply, { isAnswer: true }>,
        requestId: string,
    ): Promise<void> {
        const { status, headers, bytes, rest } = reply;
        this.options.metrics.count("requests_total", RequestOutcome.Answered);
        if (response.destroyed) {
            rest?.destroy();
            return;
        }
        // A response forwarded by another entry already has an outcome header, which replaces the default.
        response.writeHead(status, {
            [headerNames.outcome]: RequestOutcome.Answered,
            ...headers,
            [headerNames.requestId]: requestId,
            ...(rest === undefined ? { "content-length": bytes.length } : {}),
        });
        if (rest === undefined) {
            response.end(bytes);
            return;
        }
        response.write(bytes);
        // If the body breaks off, the caller's connection is closed, so that the caller can't mistake the part for the
        // whole response.
        await pipeline(rest, response).catch(() => response.destroy());
    }

    private refuse(response: Response, reason: RefusalReason, detail?: string): void {
        const { metrics, settings, pickRandom } = this.options;
        const { outcome, status, remedy } = describeRefusal(reason);
        metrics.count("requests_total", outcome);
        metrics.count("refusals_total", reason);
        if (response.destroyed || response.headersSent) {
            return;
        }
        const retryAfterMs = Math.round(settings.admission.retryAfterMs * (1 + pickRandom()));
        response.writeHead(status, {
            "content-type": "application/json",
            [headerNames.outcome]: outcome,
            [headerNames.reason]: reason,
            "retry-after": String(Math.ceil(retryAfterMs / MILLISECONDS_PER_SECOND)),
            ...(this.isDraining ? { connection: "close" } : {}),
        });
        response.end(JSON.stringify({ outcome, reason, detail, remedy, retryAfterMs }));
    }
}
