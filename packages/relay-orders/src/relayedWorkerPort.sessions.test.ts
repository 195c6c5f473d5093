import { describe, expect, it } from "@jest/globals";
import type { StartOrder } from "@sardinestage/describe-ports";
import { OrderOutcome } from "@sardinestage/describe-ports";
import { RunEnd } from "@sardinestage/describe-work";
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

const worker = { id: "w0", address: "w0", domain: "here" };
const renewal = { fence: 1, lastRecordedEnd: 0, leaseUntilMs: undefined, waitMs: 1000, bornMs: 5 };
const ended = [{
    number: 1,
    task: { jobId: "job", occurrence: 0, step: 0, index: 0 },
    run: 1,
    end: RunEnd.Done,
    checkpoint: "",
}];

/** Creates a port with an open session, whose relay gets these answers to lease renewals from workers. */
async function openPort(outcome: OrderOutcome, answerAfterMs: number) {
    const harness = new RelayHarness(WORKERS);
    const relay = harness.addRelay("relay");
    const report = { outcome, clockMs: 0, bornMs: 5, running: [], ended };
    harness.fleet.renewLease = () =>
        new Promise(resolve => harness.clock.schedule(answerAfterMs, () => resolve(report)));
    const port = harness.createCoordinatorPort(1, 0);
    port.openSessions();
    await harness.clock.runFor(50);
    return { harness, relay, port };
}

// Guards against ends that a worker has listed in its last answer: tasks that were done ran again.
describe("Ends in a worker's answer that a relay has got", () => {
    it("reach the coordinator though the lease wasn't renewed", async () => {
        const { harness, port } = await openPort(OrderOutcome.Unknown, 0);
        const renewed = port.renewLease(worker, renewal);
        await harness.clock.runFor(1000);
        expect(await renewed).toEqual({ outcome: OrderOutcome.Unknown, clockMs: 0, bornMs: 5, running: [], ended });
    });

    it("reach the coordinator if the session is drained meanwhile", async () => {
        const { harness, relay, port } = await openPort(OrderOutcome.Accepted, 600);
        const renewed = port.renewLease(worker, renewal);
        await harness.clock.runFor(100);
        relay.loopDelayMs = 200;
        await harness.clock.runFor(2000);
        expect((await renewed).ended).toEqual(ended);
    });

    it("are logged with the session if it is replaced before they are there", async () => {
        const { harness, port } = await openPort(OrderOutcome.Accepted, 600);
        void port.renewLease(worker, renewal);
        await harness.clock.runFor(100);
        harness.createCoordinatorPort(1, 0).openSessions();
        await harness.clock.runFor(2000);
        expect(harness.events.filter(event => event.startsWith("relay-report-late"))).toHaveLength(1);
        expect(harness.events.filter(event => event.startsWith("relay-calls-unanswered"))).toEqual([
            expect.stringContaining("\"reason\":\"Expired\",\"calls\":1,\"renewals\":1"),
        ]);
    });
});
