import { RequestOutcome } from "@sardinestage/types";
import { randomBytes } from "node:crypto";
import { v7 } from "uuid";
import { sendRequest } from "./sendRequest.js";
import type { TrafficTotals } from "./trafficTotals.js";

interface TrafficOptions {
    readonly service: string;
    readonly requestsPerSecond: number;
    /** Chooses an entry for each try, as the balancer does. */
    readonly chooseEntry: () => { readonly port: number; readonly domain: string };
    readonly isIdempotent: boolean;
    readonly deadlineMs: number;
    readonly urgency: number;
    readonly bodyBytes: number;
    /** Tries of one request when it is refused as not run or, being idempotent, its connection breaks. */
    readonly maxTries: number;
    readonly key?: string;
}

const RETRY_PAUSE_MS = 100;

/** Sends requests at a steady rate, whatever becomes of them, and counts the outcomes. */
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
    private readonly open = new Set<Promise<void>>();

    constructor(private readonly options: TrafficOptions) {}

    /** Begins to send. */
    start(): void {
        const startedAtMs = performance.now();
        this.timer = setInterval(() => {
            const due = (performance.now() - startedAtMs) / 1000 * this.options.requestsPerSecond;
            while (this.totals.sent < due) {
                this.totals.sent++;
                const request = this.runRequest().finally(() => this.open.delete(request));
                this.open.add(request);
            }
        }, 5);
    }

    /** Ends sending and waits for the outcomes of what was sent. */
    async stop(): Promise<TrafficTotals> {
        clearInterval(this.timer);
        await Promise.all(this.open);
        return this.totals;
    }

    private async runRequest(): Promise<void> {
        const { service, chooseEntry, isIdempotent, deadlineMs, urgency, bodyBytes, maxTries, key } = this.options;
        const requestId = v7();
        const body = randomBytes(bodyBytes);
        const homeDomain = chooseEntry().domain;
        for (let count = 1;; count++) {
            const { port } = chooseEntry();
            const answer = await sendRequest({
                port,
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
            if (mayRetry && count < maxTries) {
                await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
                continue;
            }
            this.recordOutcome(answer.outcome, answer.reason);
            if (answer.outcome === RequestOutcome.Answered) {
                this.totals.latenciesMs.push(answer.latencyMs);
                const own = answer.headers["x-request-id"] === requestId && answer.body.equals(body);
                this.totals.wrong += own ? 0 : 1;
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
