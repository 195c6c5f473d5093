import { describe, expect, it } from "@jest/globals";
import { StartGate } from "./startGate.js";
import { createLink } from "./testing/createLink.js";
import type { WorkerLink } from "./workerLink.js";

const OPENED_AT_MS = 1000;
const LEASE_MS = 4500;
const ENTRY_RETURN_MS = 2000;

function createGate(links: readonly WorkerLink[], hadUnrecordedStarts = false): StartGate {
    return new StartGate(links, {
        listLinks: () => links,
        openedAtMs: OPENED_AT_MS,
        leaseMs: LEASE_MS,
        entryReturnMs: ENTRY_RETURN_MS,
        hadUnrecordedStarts,
    });
}

describe("StartGate", () => {
    describe("when a worker that answers hasn't had its lease extended", () => {
        it("keeps starts back, but no longer than leases last", () => {
            const links = [createLink("extended"), createLink("waiting")];
            const gate = createGate(links);
            links[0].isLeaseExtended = true;
            expect(gate.tryOpening(OPENED_AT_MS + LEASE_MS - 1)).toBe(false);
            expect(gate.tryOpening(OPENED_AT_MS + LEASE_MS)).toBe(true);
        });
    });

    describe("when a worker doesn't answer", () => {
        it("doesn't wait for it", () => {
            const links = [createLink("silent"), createLink("gone")];
            const gate = createGate(links);
            links[0].missedHolds = 1;
            links[1].isGone = true;
            expect(gate.tryOpening(OPENED_AT_MS)).toBe(true);
        });
    });

    describe("when it has opened", () => {
        it("stays open although a worker begins a new life", () => {
            const links = [createLink("extended")];
            const gate = createGate(links);
            links[0].isLeaseExtended = true;
            expect(gate.tryOpening(OPENED_AT_MS)).toBe(true);
            links[0].isLeaseExtended = false;
            expect(gate.tryOpening(OPENED_AT_MS + 1)).toBe(true);
        });
    });

    describe("when an earlier coordinator may have started work unrecorded", () => {
        it("waits until the list is complete and each worker has said what it runs", () => {
            const links = [createLink("heard")];
            const gate = createGate(links, true);
            links[0].isLeaseExtended = true;
            links[0].isHeld = true;
            expect(gate.tryOpening(OPENED_AT_MS + ENTRY_RETURN_MS - 1)).toBe(false);
            expect(gate.tryOpening(OPENED_AT_MS + ENTRY_RETURN_MS)).toBe(true);
        });
    });
});
