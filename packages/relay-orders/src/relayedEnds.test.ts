import { describe, expect, it } from "@jest/globals";
import type { LeaseReport } from "@sardinestage/describe-ports";
import { OrderOutcome } from "@sardinestage/describe-ports";
import { RunEnd } from "@sardinestage/describe-work";
import type { RelayedWorkerPort } from "./relayedWorkerPort.js";
import { RelayOutcome } from "./relayOutcome.js";
import type { RelayRequest } from "./relayRequest.js";
import { RelayHarness } from "./testing/relayHarness.js";

const LEASE_MS = 4600;

const worker = { id: "w0", address: "w0", domain: "here" };
const renewal = { fence: 1, lastRecordedEnd: 0, leaseUntilMs: undefined, waitMs: 1000, bornMs: 5 };
const ended = [{
    number: 1,
    task: { jobId: "job", occurrence: 0, step: 0, index: 0 },
    run: 1,
    end: RunEnd.Done,
    checkpoint: "",
}];
const listing: LeaseReport = { outcome: OrderOutcome.Accepted, clockMs: 1, bornMs: 5, running: [], ended };
const gone: LeaseReport = { outcome: OrderOutcome.Unknown, clockMs: 0, bornMs: 0, running: [], ended: [] };
const reborn: LeaseReport = { ...listing, bornMs: 9, ended: [] };

/** Creates a port with an open session; the worker lists its end after a while, and answers as given from then on. */
async function openPort(listsAfterMs: number, later = gone) {
    const harness = new RelayHarness(1);
    const relay = harness.addRelay("relay");
    let calls = 0;
    harness.fleet.renewLease = () => {
        calls++;
        return calls > 1
            ? Promise.resolve(later)
            : new Promise(resolve => harness.clock.schedule(listsAfterMs, () => resolve(listing)));
    };
    const port = harness.createCoordinatorPort(1, 0);
    port.openSessions();
    await harness.clock.runFor(50);
    return { harness, relay, port };
}

/** Renews the lease every 100 ms for a time. Returns the answers that tell ends or aren't of a worker that has gone. */
async function renewFor(harness: RelayHarness, port: RelayedWorkerPort, durationMs: number): Promise<LeaseReport[]> {
    const answers: LeaseReport[] = [];
    for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
        void port.renewLease(worker, renewal).then(report => answers.push(report));
        await harness.clock.runFor(100);
    }
    return answers.filter(({ outcome, ended: rows }) => rows.length > 0 || outcome === OrderOutcome.Accepted);
}

function createQuestion(term: number): RelayRequest {
    const session = "other";
    return { term, session, isOpening: false, sentAtMs: 0, gatherMs: 0, payloads: [], calls: [], endsOf: ["w0"] };
}

const told = { outcome: OrderOutcome.Unknown, clockMs: 0, bornMs: 5, running: [], ended };

// Guards against ends that a worker has told a relay in its last answer, after which it was gone.
describe("Ends that a relay has got but not passed on", () => {
    it("reach the coordinator once, before the lease lapses, if replies don't arrive", async () => {
        const { harness, relay, port } = await openPort(900);
        const first = port.renewLease(worker, renewal);
        await harness.clock.runFor(400);
        relay.isSilent = true;
        await harness.clock.runFor(1500);
        relay.isSilent = false;
        expect((await first).ended).toEqual([]);
        expect(await renewFor(harness, port, LEASE_MS - 1900)).toEqual([told]);
        expect(await renewFor(harness, port, 15_000)).toEqual([]);
    });

    it("reach both ports of a term if the session was replaced", async () => {
        const { harness, port } = await openPort(600);
        const first = port.renewLease(worker, renewal);
        await harness.clock.runFor(100);
        const second = harness.createCoordinatorPort(1, 0);
        second.openSessions();
        await harness.clock.runFor(1000);
        expect((await first).ended).toEqual([]);
        expect(await renewFor(harness, second, 500)).toEqual([told]);
        expect(await renewFor(harness, port, 500)).toEqual([told]);
    });

    it("reach the coordinator if the worker answers only after the relay was asked", async () => {
        const { harness, relay, port } = await openPort(2500);
        void port.renewLease(worker, renewal);
        await harness.clock.runFor(100);
        relay.lateMs = 1500;
        await harness.clock.runFor(1500);
        relay.lateMs = 0;
        expect(harness.events.filter(event => event.startsWith("relay-calls-unanswered"))).toHaveLength(1);
        expect(await renewFor(harness, port, LEASE_MS - 1600)).toEqual([told]);
    });

    it("reach a coordinator of a later term, and none of an earlier one", async () => {
        const { harness, relay, port } = await openPort(600);
        void port.renewLease(worker, renewal);
        await harness.clock.runFor(100);
        const later = harness.createCoordinatorPort(2, 0);
        later.openSessions();
        await harness.clock.runFor(1000);
        expect(await renewFor(harness, later, 500)).toEqual([told]);
        expect(await renewFor(harness, port, 5000)).toEqual([]);
        const [earlier, same] = await Promise.all([1, 2].map(term => relay.relay.handleRequest(createQuestion(term))));
        expect([earlier.outcome, earlier.keptEnds]).toEqual([RelayOutcome.StaleTerm, undefined]);
        expect(same.keptEnds).toEqual([{ worker: "w0", bornMs: 5, ended }]);
    });

    it("come before the reports of the worker's next life", async () => {
        const { harness, relay, port } = await openPort(900, reborn);
        void port.renewLease(worker, renewal);
        await harness.clock.runFor(400);
        relay.isSilent = true;
        await harness.clock.runFor(1000);
        relay.isSilent = false;
        await harness.clock.runFor(700);
        const answers = await renewFor(harness, port, 300);
        expect(answers).toEqual([told, reborn, reborn]);
    });

    it("aren't kept once they are recorded", async () => {
        const { harness, relay, port } = await openPort(0);
        const first = port.renewLease(worker, renewal);
        await harness.clock.runFor(100);
        expect((await first).ended).toEqual(ended);
        expect((await relay.relay.handleRequest(createQuestion(1))).keptEnds).toHaveLength(1);
        const second = port.renewLease(worker, { ...renewal, lastRecordedEnd: 1 });
        await harness.clock.runFor(100);
        expect(await second).toEqual(gone);
        expect((await relay.relay.handleRequest(createQuestion(1))).keptEnds).toEqual([]);
    });
});

// Guards against questions without end to a relay that doesn't know them.
describe("A relay of an earlier version", () => {
    it("is asked once for ends, and serves again after its pause", async () => {
        const { harness, relay, port } = await openPort(900, listing);
        relay.isEarlierVersion = true;
        void port.renewLease(worker, renewal);
        await harness.clock.runFor(400);
        relay.isSilent = true;
        await harness.clock.runFor(1000);
        relay.isSilent = false;
        await harness.clock.runFor(600);
        const { requests } = harness;
        await harness.clock.runFor(4000);
        expect(harness.requests).toBe(requests);
        harness.calls.relayed.length = 0;
        const answers = await renewFor(harness, port, 1000);
        expect(answers.length).toBeGreaterThan(5);
        expect(harness.calls.relayed.length).toBeGreaterThan(5);
    });
});
