import { afterEach, describe, expect, it } from "@jest/globals";
import { RequestOutcome } from "@sardinestage/types";
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { CallerTraffic } from "./callerTraffic.js";
import { waitUntil } from "./waitUntil.js";

const REQUESTS = 20;
const WAIT_TIMEOUT_MS = 10_000;

let servers: Server[] = [];

afterEach(() => {
    servers.forEach(server => server.close());
    servers = [];
});

/** Starts a server in the place of an entry, which gives each request the same outcome and lists its home domain. */
async function startEntry(outcome: RequestOutcome, homeDomains: string[]): Promise<number> {
    const server = createServer((request, response) => {
        homeDomains.push(String(request.headers["x-home-domain"]));
        request.resume();
        response.writeHead(outcome === RequestOutcome.Answered ? 200 : 503, { "x-outcome": outcome }).end();
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return (server.address() as AddressInfo).port;
}

/** Sends requests to two entries in turn; returns the home domains of those that each got. */
async function sendInTurn(outcomes: readonly RequestOutcome[], maxTries: number): Promise<string[][]> {
    const received: string[][] = outcomes.map(() => []);
    const ports = await Promise.all(outcomes.map((outcome, i) => startEntry(outcome, received[i])));
    let next = 0;
    const traffic = new CallerTraffic({
        service: "attendance",
        requestsPerSecond: 200,
        isIdempotent: true,
        deadlineMs: 5_000,
        urgency: 1,
        bodyBytes: 10,
        maxTries,
        chooseEntry: () => {
            const index = next++ % ports.length;
            return { port: ports[index], domain: `domain-${index}` };
        },
    });
    traffic.start();
    await waitUntil("the requests are sent", () => traffic.totals.sent >= REQUESTS, WAIT_TIMEOUT_MS);
    await traffic.stop();
    return received;
}

describe("the callers' traffic", () => {
    describe("whose entries are chosen in turn", () => {
        it("reaches each entry equally often, with the entry's domain as the home domain", async () => {
            const [first, second] = await sendInTurn([RequestOutcome.Answered, RequestOutcome.Answered], 1);
            expect(first.length + second.length).toBeGreaterThanOrEqual(REQUESTS);
            expect(Math.abs(first.length - second.length)).toBeLessThanOrEqual(1);
            expect(new Set(first)).toEqual(new Set(["domain-0"]));
            expect(new Set(second)).toEqual(new Set(["domain-1"]));
        });
    });

    describe("whose requests are refused", () => {
        it("chooses an entry anew for the next try, and keeps the home domain of the first", async () => {
            const [first, second] = await sendInTurn([RequestOutcome.Refused, RequestOutcome.Refused], 2);
            const all = [...first, ...second];
            expect(all.length).toBeGreaterThanOrEqual(2 * REQUESTS);
            expect(all.length % 2).toBe(0);
            expect(Math.abs(first.length - second.length)).toBeLessThanOrEqual(1);
            expect(new Set(all)).toEqual(new Set(["domain-0", "domain-1"]));
        });
    });
});
