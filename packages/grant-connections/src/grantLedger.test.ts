import { describe, expect, it } from "@jest/globals";
import { GrantLedger } from "./grantLedger.js";
import type { GrantReport } from "./grantReport.js";

const CONNECTIONS = 8;
const ENDPOINTS = [{ worker: "w", service: "s", address: "127.0.0.1", port: 1, concurrency: 99 }];

function createLedger(takenOver: boolean): GrantLedger {
    const ledger = new GrantLedger({ ttlMs: 100, maxDeadlineMs: 1_000, clockMarginMs: 0 });
    ledger.openWorker("w", 1, CONNECTIONS, takenOver, 0);
    return ledger;
}

function createReport(limit: number): GrantReport[] {
    return [{ worker: "w", token: 1, service: "s", limit, inFlight: 0 }];
}

function pullLimit(
    ledger: GrantLedger,
    entry: string,
    entries: string[],
    reports: GrantReport[],
    nowMs: number,
): number {
    return ledger.pullGrants(entry, entries, reports, ENDPOINTS, nowMs)[0].limit;
}

describe("GrantLedger", () => {
    describe("when a worker was taken over", () => {
        it("grants nothing new until every entry has reported and a grant's time to live has passed", () => {
            const ledger = createLedger(true);
            const entries = ["e0", "e1"];
            expect(pullLimit(ledger, "e1", entries, [], 1)).toBe(0);
            expect(pullLimit(ledger, "e1", entries, [], 200)).toBe(0);
            expect(pullLimit(ledger, "e0", entries, createReport(CONNECTIONS), 201)).toBe(CONNECTIONS);
            expect(pullLimit(ledger, "e0", entries, createReport(CONNECTIONS), 202)).toBe(4);
        });

        it("grants again once the old grants have certainly expired, even if an entry never reports", () => {
            const ledger = createLedger(true);
            expect(pullLimit(ledger, "e1", ["e0", "e1"], [], 1_100)).toBe(4);
        });
    });

    describe("when a limit is lowered", () => {
        it("counts the old limit until the entry has reported the new one", () => {
            const ledger = createLedger(false);
            expect(pullLimit(ledger, "e0", ["e0"], [], 1)).toBe(CONNECTIONS);
            expect(pullLimit(ledger, "e0", ["e0", "e1"], createReport(CONNECTIONS), 2)).toBe(4);
            expect(pullLimit(ledger, "e1", ["e0", "e1"], [], 3)).toBe(0);
            expect(pullLimit(ledger, "e0", ["e0", "e1"], createReport(4), 4)).toBe(4);
            expect(pullLimit(ledger, "e1", ["e0", "e1"], [], 5)).toBe(4);
        });
    });
});
