import { afterEach, describe, expect, it } from "@jest/globals";
import {
    CallerTraffic,
    createConfig,
    createDefaultPlan,
    LinkFault,
    LogFault,
    OperatorJsonClient,
    sendRequest,
    startConfiguredInstallation,
    waitUntil,
} from "@sardinestage/stand-ins";
import type { Installation } from "@sardinestage/stand-ins";
import { RequestOutcome } from "@sardinestage/types";
import { testHarness } from "./testHarness.js";

/** Time after which a target that is listed as leaving must get no new request, in milliseconds. */
const LEAVING_TIMEOUT_MS = 3_000;

let installation: Installation;
let traffics: CallerTraffic[] = [];

afterEach(async () => {
    await Promise.all(traffics.map(traffic => traffic.stop()));
    traffics = [];
    expect(installation.recorder.violations).toEqual([]);
    await installation.close();
});

function startTraffic(requestsPerSecond: number, isIdempotent = true, maxTries = 6): CallerTraffic {
    const vms = [...installation.entryVms.values()];
    let next = 0;
    const traffic = new CallerTraffic({
        service: testHarness.service,
        requestsPerSecond,
        isIdempotent,
        deadlineMs: 5_000,
        urgency: 1,
        bodyBytes: 100,
        maxTries,
        chooseEntry: () => {
            const { ports, record } = vms[next++ % vms.length];
            return { port: ports.caller, domain: record.domain };
        },
    });
    traffic.start();
    traffics.push(traffic);
    return traffic;
}

function countOpenRequests(worker: string): number {
    return installation.fleet.getWorker(worker).worker.openRequests;
}

describe("a target that leaves", () => {
    it("gets no new request after the time limit, and none of its requests is cut off", async () => {
        installation = await testHarness.start({ listLagMs: 0 }, { replicas: 3, serviceMs: 300 });
        const traffic = startTraffic(30);
        const worker = [...installation.fleet.workers.keys()]
            .find(name => installation.fleet.getWorker(name).worker.findReplica(testHarness.service) !== undefined)
            ?? "";
        await waitUntil("the target works on requests", () => countOpenRequests(worker) > 0, testHarness.waitTimeoutMs);
        installation.setLeaving(worker);
        const leftAtMs = performance.now();
        let lastSeenMs = 0;
        await waitUntil("the time limit and the longest request have passed", () => {
            lastSeenMs = countOpenRequests(worker) > 0 ? performance.now() - leftAtMs : lastSeenMs;
            return performance.now() - leftAtMs > LEAVING_TIMEOUT_MS + 2_000;
        }, testHarness.waitTimeoutMs);
        const totals = await traffic.stop();
        expect(lastSeenMs).toBeLessThan(LEAVING_TIMEOUT_MS + 300);
        expect(installation.recorder.requestsCutOff).toBe(0);
        expect(totals.answered).toBe(totals.sent);
    });
});

describe("an entry that receives SIGTERM", () => {
    it("finishes the requests in progress", async () => {
        installation = await testHarness.start({}, { serviceMs: 800 });
        const [{ entry, ports }] = installation.entryVms.values();
        const open = Array.from(
            { length: 8 },
            (_, i) =>
                sendRequest({
                    port: ports.caller,
                    service: testHarness.service,
                    requestId: `open-${i}`,
                    isIdempotent: true,
                    deadlineMs: 9_000,
                }),
        );
        await waitUntil(
            "a target works on the requests",
            () => installation.recorder.requestRuns.size > 0,
            testHarness.waitTimeoutMs,
        );
        entry.sendSignal("SIGTERM");
        const answers = await Promise.all(open);
        expect(answers.map(answer => answer.outcome)).toEqual(open.map(() => RequestOutcome.Answered));
        expect(await entry.waitForExit()).toBe(0);
    });
});

describe("a scheduler that receives SIGTERM", () => {
    it("hands its workers over to the other scheduler, and no request fails meanwhile", async () => {
        installation = await testHarness.start({}, { replicas: 3 });
        const traffic = startTraffic(40);
        await waitUntil("requests are answered", () => traffic.totals.answered > 20, testHarness.waitTimeoutMs);
        const [first, second] = installation.entryVms.values();
        first.scheduler.sendSignal("SIGTERM");
        expect(await first.scheduler.waitForExit()).toBe(0);
        await waitUntil("the other scheduler holds every worker", async () => {
            const { heldWorkers } = await installation.readStatus(second.ports.schedulerMetrics) as {
                heldWorkers: string[];
            };
            return heldWorkers.length === 4;
        }, testHarness.waitTimeoutMs);
        const totals = await traffic.stop();
        expect(totals.answered).toBe(totals.sent);
        expect(installation.recorder.expirations).toBe(0);
    });
});

describe("targets under overload", () => {
    it("never have more open requests than their limit, even while a scheduler restarts", async () => {
        // The targets answer 80 requests a second: 16 at once, in 200 ms.
        installation = await testHarness.start({ workerConnections: 8 }, { replicas: 2, serviceMs: 200 });
        const traffic = startTraffic(250, true, 1);
        await waitUntil(
            "the overload has begun",
            () => traffic.totals.answered > 100 && traffic.totals.refused > 0,
            testHarness.waitTimeoutMs,
        );
        const [{ scheduler }] = installation.entryVms.values();
        scheduler.sendSignal("SIGKILL");
        await scheduler.waitForExit();
        scheduler.start();
        const before = traffic.totals.answered;
        await waitUntil(
            "requests are still answered",
            () => traffic.totals.answered > before + 300,
            testHarness.waitTimeoutMs,
        );
        const totals = await traffic.stop();
        expect(totals.refused).toBeGreaterThan(0);
        expect(totals.wrong).toBe(0);
    });
});

describe("a failure domain that is partitioned from the others", () => {
    it("keeps serving its own callers, and neither side answers requests for the other", async () => {
        const domains = [
            { domain: "gent-haven", region: "vlaanderen", entryVms: 2, workers: 2, workersPerRack: 1 },
            { domain: "luik-oven", region: "wallonie", entryVms: 2, workers: 2, workersPerRack: 1 },
        ];
        const replicas = { "gent-haven": 2, "luik-oven": 2 };
        installation = await startConfiguredInstallation(
            createDefaultPlan({ domains }),
            createConfig({
                services: { [testHarness.service]: replicas },
                serviceMs: 20,
                concurrency: 16,
                batchShare: 0.2,
            }),
        );
        const isLuik = (name: string) => name.startsWith("luik-oven");
        installation.network.setFault(LinkFault.Cut, (from, to) => isLuik(from) !== isLuik(to));
        const [gent, luik] = ["gent-haven-e0", "luik-oven-e0"].map(name => installation.getEntryVm(name));
        const send = (port: number, homeDomain: string) =>
            sendRequest({ ...testHarness.createNonIdempotentRequest(port), homeDomain, deadlineMs: 2_000 });
        const answers = await Promise.all([
            send(luik.ports.caller, "luik-oven"),
            send(gent.ports.caller, "gent-haven"),
            send(luik.ports.caller, "gent-haven"),
            send(gent.ports.caller, "luik-oven"),
        ]);
        expect(answers.slice(0, 2).map(answer => answer.outcome)).toEqual([
            RequestOutcome.Answered,
            RequestOutcome.Answered,
        ]);
        for (const answer of answers.slice(2)) {
            expect(answer.outcome).not.toBe(RequestOutcome.Answered);
        }
        installation.network.reset();
        await waitUntil(
            "requests for the other domain are answered again",
            async () => (await send(luik.ports.caller, "gent-haven")).outcome === RequestOutcome.Answered,
            testHarness.waitTimeoutMs,
        );
    });
});

describe("a request forwarded to another failure domain whose answer is lost", () => {
    it("gets an unknown outcome, even if idempotent, and is never reported as not run", async () => {
        const domains = [
            { domain: "gent-haven", region: "vlaanderen", entryVms: 2, workers: 2, workersPerRack: 1 },
            { domain: "luik-oven", region: "wallonie", entryVms: 1, workers: 1, workersPerRack: 1 },
        ];
        installation = await startConfiguredInstallation(
            createDefaultPlan({ domains }),
            createConfig({ services: { far: { "gent-haven": 2 } }, serviceMs: 20, concurrency: 16, batchShare: 0.2 }),
        );
        const { ports } = installation.getEntryVm("luik-oven-e0");
        const send = (requestId: string) =>
            sendRequest({ port: ports.caller, service: "far", requestId, isIdempotent: true, deadlineMs: 2_000 });
        await waitUntil(
            "the request is answered by the other domain",
            async () => (await send(`warm-${performance.now()}`)).outcome === RequestOutcome.Answered,
            testHarness.waitTimeoutMs,
        );
        installation.network.setFault(
            LinkFault.AnswersDropped,
            (from, to) => from === "luik-oven-e0" && to.startsWith("gent-haven"),
        );
        const answer = await send("lost");
        expect(installation.recorder.requestRuns.get("lost")).toBeGreaterThan(0);
        expect(answer.outcome).toBe(RequestOutcome.Unknown);
    });
});

describe("an installation whose platform is unavailable", () => {
    it("keeps serving requests", async () => {
        installation = await testHarness.start({}, { replicas: 2 });
        installation.log.fault = LogFault.Unavailable;
        installation.list.isUnavailable = true;
        const traffic = startTraffic(40, false);
        await waitUntil(
            "requests are answered for longer than any lease",
            () => traffic.totals.answered > 320,
            testHarness.waitTimeoutMs,
        );
        const totals = await traffic.stop();
        expect(totals.answered).toBe(totals.sent);
        const [{ ports }] = installation.entryVms.values();
        const refused = await new OperatorJsonClient(ports.admin).call("SubmitTask", {
            task: { taskId: "gent-haven/late", team: "plans", taskClass: "x", size: { cpuMillis: 1, slots: 1 } },
        });
        expect(refused.body.code).toBe("unavailable");
    });
});
