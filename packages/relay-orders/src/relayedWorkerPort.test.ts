import { describe, expect, it } from "@jest/globals";
import type { StartOrder } from "@sardinestage/describe-ports";
import { OrderOutcome } from "@sardinestage/describe-ports";
import { RelayOutcome } from "./relayOutcome.js";
import type { RelayRequest } from "./relayRequest.js";
import { RelayHarness } from "./testing/relayHarness.js";

const WORKERS = 20;

function createStart(fence: number): StartOrder {
    const task = { jobId: "job", occurrence: 0, step: 0, index: 0 };
    return { task, run: 1, payload: "payload", leaseUntilMs: 30_000, fence, checkpoint: "", ticket: "" };
}

const worker = { id: "w0", address: "w0", domain: "here" };

describe("RelayedWorkerPort", () => {
    describe("for a small fleet", () => {
        it("calls all workers directly", async () => {
            const harness = new RelayHarness(WORKERS);
            harness.addRelay("relay");
            const port = harness.createCoordinatorPort(1, WORKERS);
            await harness.renewAll(port, 1);
            await harness.renewAll(port, 1);
            expect(harness.calls.direct.length).toBe(2 * WORKERS);
            expect(harness.requests).toBe(0);
        });
    });

    describe("when the relay's process knows of a later term that has opened no session yet", () => {
        it("learns that its own term is over, and no call is made", async () => {
            const harness = new RelayHarness(WORKERS);
            harness.addRelay("relay");
            const port = harness.createCoordinatorPort(1, 0);
            port.openSessions();
            await harness.clock.runFor(50);
            harness.knownTerm = 2;
            const outcomes = await harness.renewAll(port, 1);
            expect(outcomes).toContain(OrderOutcome.StaleFence);
            expect(harness.calls.relayed).toEqual([]);
        });
    });

    describe("for a large fleet", () => {
        it("has a relay make the calls, many in one request", async () => {
            const harness = new RelayHarness(WORKERS);
            harness.addRelay("relay");
            const port = harness.createCoordinatorPort(1, 0);
            await harness.renewAll(port, 1);
            const requests = harness.requests;
            const outcomes = await harness.renewAll(port, 1);
            expect(outcomes).toEqual(Array.from({ length: WORKERS }, () => OrderOutcome.Accepted));
            expect(harness.calls.relayed.length).toBe(WORKERS);
            expect(harness.requests - requests).toBeLessThan(WORKERS / 4);
        });

        it("needs no direct call once its sessions were opened ahead", async () => {
            const harness = new RelayHarness(WORKERS);
            harness.addRelay("relay");
            const port = harness.createCoordinatorPort(1, 0);
            port.openSessions();
            await harness.clock.runFor(50);
            await harness.renewAll(port, 1);
            expect(harness.calls.direct).toEqual([]);
            expect(harness.calls.relayed.length).toBe(WORKERS);
        });

        it("prefers the strongest VM of the worker's failure domain", async () => {
            const harness = new RelayHarness(WORKERS);
            harness.addRelay("elsewhere", 4, "elsewhere");
            harness.addRelay("weak", 1);
            harness.addRelay("strong", 2);
            const port = harness.createCoordinatorPort(1, 0);
            await harness.renewAll(port, 1);
            await harness.renewAll(port, 1);
            expect(harness.events.filter(event => event.startsWith("relay-opened"))).toEqual([
                "relay-opened {\"vm\":\"strong\",\"workersIn\":\"here\"}",
            ]);
        });

        it("gives back what a worker reports, report after report", async () => {
            const harness = new RelayHarness(WORKERS);
            harness.addRelay("relay");
            const port = harness.createCoordinatorPort(1, 0);
            await harness.renewAll(port, 1);
            const outcome = port.start(worker, createStart(1));
            await harness.clock.runFor(100);
            expect(await outcome).toBe(OrderOutcome.Accepted);
            for (let renewal = 0; renewal < 3; renewal++) {
                const order = { fence: 1, lastRecordedEnd: 0, leaseUntilMs: undefined, waitMs: 100, bornMs: undefined };
                const report = port.renewLease(worker, order);
                await harness.clock.runFor(500);
                expect((await report).running.map(({ task, run }) => ({ ...task, run }))).toEqual([
                    { jobId: "job", occurrence: 0, step: 0, index: 0, run: 1 },
                ]);
            }
            expect(harness.calls.direct.length).toBe(WORKERS);
        });
    });

    describe("when a failure domain is evacuated while a relay takes no call", () => {
        // Guards against starts that were checked before the relay was asked, and are made directly after it gave up.
        it("makes no start there directly, but other calls", async () => {
            const harness = new RelayHarness(WORKERS);
            const port = harness.createCoordinatorPort(1, 0);
            harness.evacuated.add("here");
            const outcome = port.start(worker, createStart(1));
            await harness.clock.runFor(100);
            expect(await outcome).toBe(OrderOutcome.Unsent);
            expect(harness.calls.direct).toEqual([]);
            await harness.renewAll(port, 1);
            expect(harness.calls.direct).toHaveLength(WORKERS);
        });
    });

    describe("when the relay falls silent", () => {
        it("says that its calls may have been made, and makes the next ones directly", async () => {
            const harness = new RelayHarness(WORKERS);
            const relay = harness.addRelay("relay");
            const port = harness.createCoordinatorPort(1, 0);
            await harness.renewAll(port, 1);
            relay.isSilent = true;
            const outcomes = await harness.renewAll(port, 1);
            expect(new Set(outcomes)).toEqual(new Set([OrderOutcome.Unknown]));
            const directCalls = harness.calls.direct.length;
            const next = await harness.renewAll(port, 1);
            expect(new Set(next)).toEqual(new Set([OrderOutcome.Accepted]));
            expect(harness.calls.direct.length - directCalls).toBe(WORKERS);
        });
    });

    describe("when the relay fails and another VM of the failure domain can relay", () => {
        it("has that one make the calls, and calls directly only until it has answered", async () => {
            const harness = new RelayHarness(WORKERS);
            const strong = harness.addRelay("strong", 2);
            harness.addRelay("weak", 1);
            const port = harness.createCoordinatorPort(1, 0);
            await harness.renewAll(port, 1);
            strong.isSilent = true;
            await harness.renewAll(port, 1);
            const order = { fence: 1, lastRecordedEnd: 0, leaseUntilMs: undefined, waitMs: 0, bornMs: undefined };
            strong.isSilent = false;
            void port.renewLease(worker, order);
            await harness.clock.runFor(50);
            const directCalls = harness.calls.direct.length;
            void port.renewLease(worker, order);
            await harness.clock.runFor(50);
            expect(harness.calls.direct.length).toBe(directCalls);
        });
    });

    describe("when the relay was paused", () => {
        it("carries out no order that the coordinator gave up meanwhile", async () => {
            const harness = new RelayHarness(WORKERS);
            const relay = harness.addRelay("relay");
            const port = harness.createCoordinatorPort(1, 0);
            await harness.renewAll(port, 1);
            relay.lateMs = 3000;
            const outcome = port.start(worker, createStart(1));
            await harness.clock.runFor(5000);
            expect(await outcome).toBe(OrderOutcome.Unknown);
            expect(harness.calls.relayed).toEqual([]);
            expect(harness.events.some(event => event.startsWith("relay-request-late"))).toBe(true);
        });
    });

    describe("when the relay's event loop is late", () => {
        it("sends it no further calls, but waits for the answers that it owes", async () => {
            const harness = new RelayHarness(WORKERS);
            const relay = harness.addRelay("relay");
            const port = harness.createCoordinatorPort(1, 0);
            await harness.renewAll(port, 1);
            relay.loopDelayMs = 500;
            const order = { fence: 1, lastRecordedEnd: 0, leaseUntilMs: undefined, waitMs: 0, bornMs: undefined };
            const report = port.renewLease(worker, order);
            await harness.clock.runFor(100);
            expect((await report).outcome).toBe(OrderOutcome.Accepted);
            const relayedCalls = harness.calls.relayed.length;
            await harness.renewAll(port, 1);
            expect(harness.calls.relayed.length).toBe(relayedCalls);
        });
    });

    describe("when a coordinator of a later term uses the relay", () => {
        it("reports the earlier coordinator's calls as fenced off, without making them", async () => {
            const harness = new RelayHarness(WORKERS);
            harness.addRelay("relay");
            const earlier = harness.createCoordinatorPort(1, 0);
            await harness.renewAll(earlier, 1);
            const later = harness.createCoordinatorPort(2, 0);
            void later.renewLease({ ...worker, id: "unknown" }, {
                fence: 2,
                lastRecordedEnd: 0,
                leaseUntilMs: undefined,
                waitMs: 0,
                bornMs: undefined,
            });
            await harness.clock.runFor(100);
            const relayedCalls = harness.calls.relayed.length;
            const outcome = earlier.start(worker, createStart(1));
            await harness.clock.runFor(100);
            expect(await outcome).toBe(OrderOutcome.StaleFence);
            expect(harness.calls.relayed.length).toBe(relayedCalls);
        });
    });
});

describe("A call whose fencing token is above the term", () => {
    const raisedFence = 5;

    async function openPort(isEarlierVersion: boolean) {
        const harness = new RelayHarness(WORKERS);
        const relay = harness.addRelay("relay");
        relay.isEarlierVersion = isEarlierVersion;
        const port = harness.createCoordinatorPort(1, 0);
        port.openSessions();
        await harness.clock.runFor(50);
        const callWorker = async <T>(answer: Promise<T>) => {
            await harness.clock.runFor(500);
            return answer;
        };
        /** A worker keeps the highest token that it has seen and refuses lower ones. */
        const start = (index: number, fence: number) => {
            const order = createStart(fence);
            return callWorker(port.start(worker, { ...order, task: { ...order.task, index } }));
        };
        return { harness, port, callWorker, start };
    }

    it("reaches the worker through a relay with its token", async () => {
        const { harness, start } = await openPort(false);
        expect(await start(1, raisedFence)).toBe(OrderOutcome.Accepted);
        expect(await start(2, raisedFence - 1)).toBe(OrderOutcome.StaleFence);
        expect(await start(2, 1)).toBe(OrderOutcome.StaleFence);
        expect(harness.calls).toEqual({ direct: [], relayed: ["w0", "w0", "w0"] });
    });

    it("carries it in renewals, stops and changes of pace too", async () => {
        const { harness, port, callWorker } = await openPort(false);
        const renewal = { fence: raisedFence, lastRecordedEnd: 0, leaseUntilMs: 4500, waitMs: 0, bornMs: undefined };
        const task = createStart(1).task;
        expect((await callWorker(port.renewLease(worker, renewal))).outcome).toBe(OrderOutcome.Accepted);
        const lowered = { ...renewal, fence: raisedFence - 1 };
        expect((await callWorker(port.renewLease(worker, lowered))).outcome).toBe(OrderOutcome.StaleFence);
        expect(await callWorker(port.stop(worker, task, 1, raisedFence - 1))).toBe(OrderOutcome.StaleFence);
        expect(await callWorker(port.stop(worker, task, 1, raisedFence))).not.toBe(OrderOutcome.StaleFence);
        await callWorker(port.pace(worker, task, 1, 50, raisedFence));
        expect(harness.paceFences).toEqual([raisedFence]);
        expect(harness.calls.direct).toEqual([]);
    });

    it("is made directly, with its token, if the relay is of a version that would send the term", async () => {
        const { harness, start } = await openPort(true);
        expect(await start(1, 1)).toBe(OrderOutcome.Accepted);
        expect(harness.calls).toEqual({ direct: [], relayed: ["w0"] });
        expect(await start(2, raisedFence)).toBe(OrderOutcome.Accepted);
        expect(harness.calls).toEqual({ direct: ["w0"], relayed: ["w0"] });
        expect(await start(3, 1)).toBe(OrderOutcome.StaleFence);
        expect(harness.calls).toEqual({ direct: ["w0"], relayed: ["w0", "w0"] });
    });

    it("doesn't pass the relay's check of the term: that goes by the request's term", async () => {
        const { harness, start } = await openPort(false);
        harness.knownTerm = 2;
        expect(await start(1, raisedFence)).toBe(OrderOutcome.StaleFence);
        expect(harness.calls.relayed).toEqual([]);
    });
});

describe("OrderRelay", () => {
    describe("when a session asks for answers that a later one of the same term has replaced", () => {
        it("refuses it, and goes on serving the later one", async () => {
            const harness = new RelayHarness(WORKERS);
            const { relay } = harness.addRelay("relay");
            const request: RelayRequest = {
                term: 1,
                session: "earlier",
                isOpening: true,
                sentAtMs: harness.clock.getWallTime(),
                gatherMs: 2,
                payloads: [],
                calls: [],
            };
            await relay.handleRequest(request);
            await relay.handleRequest({ ...request, session: "later" });
            const refused = await relay.handleRequest({ ...request, isOpening: false });
            expect(refused.outcome).toBe(RelayOutcome.Expired);
            const reply = relay.handleRequest({ ...request, session: "later", isOpening: false });
            await harness.clock.runFor(500);
            expect((await reply).outcome).toBe(RelayOutcome.Accepted);
        });
    });

    describe("when a request is malformed", () => {
        it.each([
            ["calls that aren't lists", [1, 2]],
            ["an unknown kind of call", [[1, 99, "w0", "w0", "job", 0, 0, 0, 1]]],
            ["a fencing token that isn't a number", [[1, 1, "w0", "w0", "job", 0, 0, 0, 1, "5"]]],
        ])("refuses %s as a whole and makes no call", async (_name, calls) => {
            const harness = new RelayHarness(WORKERS);
            const { relay } = harness.addRelay("relay");
            const request: RelayRequest = {
                term: 1,
                session: "session",
                isOpening: true,
                sentAtMs: harness.clock.getWallTime(),
                gatherMs: 2,
                payloads: [],
                calls: [],
            };
            await relay.handleRequest(request);
            const renewal = [1, 0, "w0", "w0", 0, 0, 4500];
            await expect(relay.handleRequest({ ...request, isOpening: false, calls: [renewal, ...calls] })).rejects
                .toThrow(TypeError);
            await harness.clock.runFor(100);
            expect(harness.calls.relayed).toEqual([]);
        });
    });
});
