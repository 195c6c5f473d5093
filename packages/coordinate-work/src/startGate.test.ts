import { describe, expect, it } from "@jest/globals";
import { StartGate } from "./startGate.js";
import { createTrackedWorker } from "./testing/createTrackedWorker.js";
import type { TrackedWorker } from "./trackedWorker.js";

const OPENED_AT_MS = 1000;
const LEASE_MS = 4500;
const ENTRY_RETURN_MS = 2000;

const LAPSED_AT_MS = 8000;

function createGate(links: readonly TrackedWorker[], hadUnrecordedStarts = false, list = { readAtMs: 0 }): StartGate {
    return new StartGate(links, {
        listLinks: () => links,
        openedAtMs: OPENED_AT_MS,
        leaseMs: LEASE_MS,
        entryReturnMs: ENTRY_RETURN_MS,
        getListReadAt: () => list.readAtMs,
        lapsedAtMs: LAPSED_AT_MS,
        hadUnrecordedStarts,
    });
}

describe("StartGate", () => {
    describe("when a worker that answers hasn't had its lease extended", () => {
        it("keeps starts back, but no longer than leases last", () => {
            const links = [createTrackedWorker("extended"), createTrackedWorker("waiting")];
            const gate = createGate(links);
            links[0].isLeaseRenewed = true;
            expect(gate.tryOpening(OPENED_AT_MS + LEASE_MS - 1)).toBe(false);
            expect(gate.tryOpening(OPENED_AT_MS + LEASE_MS)).toBe(true);
        });
    });

    describe("when a worker doesn't answer", () => {
        it("doesn't wait for it", () => {
            const links = [createTrackedWorker("silent"), createTrackedWorker("gone")];
            const gate = createGate(links);
            links[0].missedRenewals = 1;
            links[1].isUnlisted = true;
            expect(gate.tryOpening(OPENED_AT_MS)).toBe(true);
        });
    });

    describe("when it has opened", () => {
        it("stays open although a worker begins a new life", () => {
            const links = [createTrackedWorker("extended")];
            const gate = createGate(links);
            links[0].isLeaseRenewed = true;
            expect(gate.tryOpening(OPENED_AT_MS)).toBe(true);
            links[0].isLeaseRenewed = false;
            expect(gate.tryOpening(OPENED_AT_MS + 1)).toBe(true);
        });
    });

    describe("when an earlier coordinator may have started work unrecorded", () => {
        function createHeard(): TrackedWorker {
            const link = createTrackedWorker("heard");
            link.isLeaseRenewed = true;
            link.hasReported = true;
            return link;
        }

        it("waits until the list is complete and each worker has said what it runs", () => {
            const list = { readAtMs: OPENED_AT_MS + ENTRY_RETURN_MS - 1 };
            const gate = createGate([createHeard()], true, list);
            expect(gate.tryOpening(OPENED_AT_MS + ENTRY_RETURN_MS - 1)).toBe(false);
            list.readAtMs++;
            expect(gate.tryOpening(OPENED_AT_MS + ENTRY_RETURN_MS)).toBe(true);
        });

        it("doesn't take a list for complete that was read before the entries were back", () => {
            const list = { readAtMs: OPENED_AT_MS + ENTRY_RETURN_MS - 1 };
            const gate = createGate([createHeard()], true, list);
            expect(gate.tryOpening(OPENED_AT_MS + ENTRY_RETURN_MS + 300)).toBe(false);
        });

        it("waits no longer for the list than anything can still be at work", () => {
            const gate = createGate([createHeard()], true);
            expect(gate.tryOpening(LAPSED_AT_MS)).toBe(false);
            expect(gate.tryOpening(LAPSED_AT_MS + 1)).toBe(true);
        });

        it("waits for the leases of a worker whose entry is gone: it may be cut off and run on", () => {
            const gone = createTrackedWorker("gone");
            gone.isUnlisted = true;
            gone.earlierLeasesExpireAtMs = LAPSED_AT_MS;
            const gate = createGate([createHeard(), gone], true, { readAtMs: LAPSED_AT_MS });
            expect(gate.tryOpening(LAPSED_AT_MS)).toBe(false);
            expect(gate.tryOpening(LAPSED_AT_MS + 1)).toBe(true);
        });
    });
});
