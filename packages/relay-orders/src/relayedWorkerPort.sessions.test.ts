import { describe, expect, it } from "@jest/globals";
import type { StartOrder } from "@sardinestage/describe-ports";
import { OrderOutcome } from "@sardinestage/describe-ports";
import { RelayHarness } from "./testing/relayHarness.js";

const WORKERS = 20;

// Guards against a report of one worker that is taken for another worker's: a takeover that is tried again has a second
// port in the term while calls of the first one are under way.
describe("Two ports of one term in a process", () => {
    it("each get the answers to their own calls only", async () => {
        const harness = new RelayHarness(WORKERS);
        harness.addRelay("relay");
        const first = harness.createCoordinatorPort(1, 0);
        const second = harness.createCoordinatorPort(1, 0);
        const createStart = (index: number): StartOrder => ({
            task: { jobId: "job", occurrence: 0, step: 0, index },
            run: 1,
            payload: "payload",
            leaseUntilMs: 30_000,
            fence: 1,
            checkpoint: "",
            ticket: "",
        });
        const worker = { id: "w0", address: "w0", domain: "here" };
        const other = { ...worker, id: "w1", address: "w1" };
        await Promise.all([
            harness.fleet.start(worker, createStart(0)),
            harness.fleet.start(other, createStart(1)),
            harness.clock.runFor(100),
        ]);
        const order = { fence: 1, lastRecordedEnd: 0, leaseUntilMs: undefined, waitMs: 1500, bornMs: undefined };
        first.openSessions();
        await harness.clock.runFor(50);
        const firstReport = first.renewLease(worker, order);
        await harness.clock.runFor(50);
        second.openSessions();
        await harness.clock.runFor(50);
        const secondReport = second.renewLease(other, order);
        await harness.clock.runFor(8000);
        const [firstRows, secondRows] = (await Promise.all([firstReport, secondReport]))
            .map(({ outcome, running }) => ({ outcome, tasks: running.map(({ task }) => task.index) }));
        // The relay serves the session that was opened last.
        expect({ firstRows, secondRows }).toEqual({
            firstRows: { outcome: OrderOutcome.Unknown, tasks: [] },
            secondRows: { outcome: OrderOutcome.Accepted, tasks: [1] },
        });
        expect(harness.requests).toBeLessThan(50);
    });
});

// Guards against answers that a relay of an earlier version couldn't read, and passes on as reports of nothing.
describe("A relayed report of no life of a worker", () => {
    it.each([
        [1000, OrderOutcome.Unknown],
        [0, OrderOutcome.Accepted],
        [undefined, OrderOutcome.Accepted],
    ])("has, if the worker's life was last %p, the outcome %d", async (bornMs, outcome) => {
        const harness = new RelayHarness(WORKERS);
        harness.addRelay("relay");
        const report = { outcome: OrderOutcome.Accepted, clockMs: 0, bornMs: 0, running: [], ended: [] };
        harness.fleet.renewLease = () => Promise.resolve(report);
        const port = harness.createCoordinatorPort(1, 0);
        port.openSessions();
        await harness.clock.runFor(50);
        const order = { fence: 1, lastRecordedEnd: 0, leaseUntilMs: undefined, waitMs: 0, bornMs };
        const renewed = port.renewLease({ id: "w0", address: "w0", domain: "here" }, order);
        await harness.clock.runFor(1000);
        expect((await renewed).outcome).toBe(outcome);
        expect(harness.calls).toEqual({ direct: [], relayed: ["w0"] });
    });
});
