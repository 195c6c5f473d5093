import { RequestOutcome } from "@sardinestage/types";
import { randomBytes } from "node:crypto";
import { v7 } from "uuid";
import { sendRequest } from "./sendRequest.js";
import type { TrafficTotals } from "./trafficTotals.js";

interface TrafficOptions {
    readonly service: string;
    readonly requestsPerSecond: number;
    /** Chooses an entry, as a load balancer does; called once for each try. The first one's domain is the home domain. */
    readonly chooseEntry: () => { readonly port: number; readonly domain: string };
    readonly isIdempotent: boolean;
    readonly deadlineMs: number;
    readonly urgency: number;
    readonly bodyBytes: number;
    /** Maximum tries of one request. Refused requests are retried, idempotent ones also after a broken connection. */
    readonly maxTries: number;
    readonly key?: string;
}

const RETRY_DELAY_MS = 100;

/** Sends requests at a constant rate, independent of their outcomes (open loop), and counts the outcomes. */
export class CallerTraffic {
    readonly totals: TrafficTotals = {
        sent: 0,
        answered: 0,
        refused: 0,
        unknown: 0,
        broken: 0,
        wrong: 0,
        latenciesMs: [],
        reasons: new Map(),
    };
    private timer: NodeJS.Timeout | undefined;
    private readonly openRequests = new Set<Promise<void>>();

    constructor(private readonly options: TrafficOptions) {}

    /** Starts sending. */
    start(): void {
        const startedAtMs = performance.now();
        this.timer = setInterval(() => {
            const dueRequests = (performance.now() - startedAtMs) / 1000 * this.options.requestsPerSecond;
            while (this.totals.sent < dueRequests) {
                this.totals.sent++;
                const request = this.runRequest().finally(() => this.openRequests.delete(request));
                this.openRequests.add(request);
            }
        }, 5);
    }

    /** Stops sending and waits for the outcomes of the open requests. */
    async stop(): Promise<TrafficTotals> {
        clearInterval(this.timer);
        await Promise.all(this.openRequests);
        return this.totals;
    }

    private async runRequest(): Promise<void> {
        const { service, chooseEntry, isIdempotent, deadlineMs, urgency, bodyBytes, maxTries, key } = this.options;
        const requestId = v7();
        const body = randomBytes(bodyBytes);
        let entry = chooseEntry();
        const homeDomain = entry.domain;
        for (let tries = 1;; tries++) {
            const answer = await sendRequest({
                port: entry.port,
                service,
                requestId,
                isIdempotent,
                homeDomain,
                deadlineMs,
                urgency,
                body,
                key,
            });
            const mayRetry = answer.outcome === RequestOutcome.Refused || isIdempotent && answer.outcome === undefined;
            if (mayRetry && tries < maxTries) {
                await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
                entry = chooseEntry();
                continue;
            }
            this.recordOutcome(answer.outcome, answer.reason);
            if (answer.outcome === RequestOutcome.Answered) {
                this.totals.latenciesMs.push(answer.latencyMs);
                const isCorrect = answer.headers["x-request-id"] === requestId && answer.body.equals(body);
                this.totals.wrong += isCorrect ? 0 : 1;
            }
            return;
        }
    }

    private recordOutcome(outcome: RequestOutcome | undefined, reason: string): void {
        const { totals } = this;
        switch (outcome) {
            case RequestOutcome.Answered:
                totals.answered++;
                return;
            case RequestOutcome.Refused:
                totals.refused++;
                break;
            case RequestOutcome.Unknown:
                totals.unknown++;
                break;
            default:
                totals.broken++;
        }
        totals.reasons.set(reason, (totals.reasons.get(reason) ?? 0) + 1);
    }
}
