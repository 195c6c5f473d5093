import { describe, expect, it } from "@jest/globals";
import { createTrackedWorker } from "../testing/createTrackedWorker.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import { StartGate } from "./startGate.js";

const OPENED_AT_MS = 1000;
const LEASE_MS = 4500;
const ENTRY_RETURN_MS = 2000;

const EXPIRED_AT_MS = 8000;

function createGate(
    workers: readonly TrackedWorker[],
    hadUnrecordedStarts = false,
    list = { readAtMs: 0 },
    evacuations = { isKnown: true },
): StartGate {
    return new StartGate(workers, {
        listWorkers: () => workers,
        openedAtMs: OPENED_AT_MS,
        leaseMs: LEASE_MS,
        entryReturnMs: ENTRY_RETURN_MS,
        getListReadAt: () => list.readAtMs,
        getExpiredAt: () => EXPIRED_AT_MS,
        hadUnrecordedStarts,
        evacuations,
    });
}

describe("StartGate", () => {
    describe("when the lease of a worker that answers isn't extended yet", () => {
        it("delays starts, but no longer than a lease lasts", () => {
            const workers = [createTrackedWorker("extended"), createTrackedWorker("waiting")];
            const gate = createGate(workers);
            workers[0].isLeaseRenewed = true;
            expect(gate.tryOpen(OPENED_AT_MS + LEASE_MS - 1)).toBe(false);
            expect(gate.tryOpen(OPENED_AT_MS + LEASE_MS)).toBe(true);
        });
    });

    describe("when a worker doesn't answer", () => {
        it("doesn't wait for the worker", () => {
            const workers = [createTrackedWorker("silent"), createTrackedWorker("gone")];
            const gate = createGate(workers);
            workers[0].missedRenewals = 1;
            workers[1].isUnlisted = true;
            expect(gate.tryOpen(OPENED_AT_MS)).toBe(true);
        });
    });

    describe("when it isn't known yet which failure domains are evacuated", () => {
        it("delays starts however long, until it is known", () => {
            const evacuations = { isKnown: false };
            const gate = createGate([], false, { readAtMs: 0 }, evacuations);
            expect(gate.tryOpen(OPENED_AT_MS + LEASE_MS)).toBe(false);
            evacuations.isKnown = true;
            expect(gate.tryOpen(OPENED_AT_MS + LEASE_MS)).toBe(true);
        });
    });

    describe("when the gate has opened", () => {
        it("stays open although a worker has restarted", () => {
            const workers = [createTrackedWorker("extended")];
            const gate = createGate(workers);
            workers[0].isLeaseRenewed = true;
            expect(gate.tryOpen(OPENED_AT_MS)).toBe(true);
            workers[0].isLeaseRenewed = false;
            expect(gate.tryOpen(OPENED_AT_MS + 1)).toBe(true);
        });
    });

    describe("when an earlier coordinator may have started work without recording it", () => {
        function createReportedWorker(): TrackedWorker {
            const worker = createTrackedWorker("reported");
            worker.isLeaseRenewed = true;
            worker.hasReported = true;
            return worker;
        }

        it("waits until the list is complete and each worker has reported its tasks", () => {
            const list = { readAtMs: OPENED_AT_MS + ENTRY_RETURN_MS - 1 };
            const gate = createGate([createReportedWorker()], true, list);
            expect(gate.tryOpen(OPENED_AT_MS + ENTRY_RETURN_MS - 1)).toBe(false);
            list.readAtMs++;
            expect(gate.tryOpen(OPENED_AT_MS + ENTRY_RETURN_MS)).toBe(true);
        });

        it("waits while the list was last read before lost entries were listed again", () => {
            const list = { readAtMs: OPENED_AT_MS + ENTRY_RETURN_MS - 1 };
            const gate = createGate([createReportedWorker()], true, list);
            expect(gate.tryOpen(OPENED_AT_MS + ENTRY_RETURN_MS + 300)).toBe(false);
        });

        it("stays open although a worker that joins later hasn't reported", () => {
            const workers = [createReportedWorker()];
            const gate = createGate(workers, true, { readAtMs: OPENED_AT_MS + ENTRY_RETURN_MS });
            expect(gate.tryOpen(OPENED_AT_MS + ENTRY_RETURN_MS)).toBe(true);
            const newcomer = createTrackedWorker("newcomer");
            newcomer.answeredAtMs = OPENED_AT_MS + ENTRY_RETURN_MS;
            newcomer.leaseUntilMs = LEASE_MS;
            workers.push(newcomer);
            expect(gate.tryOpen(OPENED_AT_MS + ENTRY_RETURN_MS + 1)).toBe(true);
        });

        it("stops waiting for the list once all earlier leases have expired", () => {
            const gate = createGate([createReportedWorker()], true);
            expect(gate.tryOpen(EXPIRED_AT_MS)).toBe(false);
            expect(gate.tryOpen(EXPIRED_AT_MS + 1)).toBe(true);
        });

        it("waits until the lease of an unlisted worker has expired, since it may still run tasks", () => {
            const gone = createTrackedWorker("gone", undefined, EXPIRED_AT_MS);
            gone.isUnlisted = true;
            const gate = createGate([createReportedWorker(), gone], true, { readAtMs: EXPIRED_AT_MS });
            expect(gate.tryOpen(EXPIRED_AT_MS)).toBe(false);
            expect(gate.tryOpen(EXPIRED_AT_MS + 1)).toBe(true);
        });
    });
});
