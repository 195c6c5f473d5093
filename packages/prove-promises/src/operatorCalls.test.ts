import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";
import type { Installation } from "@sardinestage/stand-ins";
import { OperatorJsonClient, waitUntil } from "@sardinestage/stand-ins";
import { testHarness } from "./testHarness.js";

const SERVICE = {
    name: "route",
    team: "records",
    replicas: { [testHarness.domain]: 2 },
    size: { cpuMillis: 1_000, memoryMb: 100, slots: 1 },
    concurrency: 4,
    payload: JSON.stringify({ serviceMs: 5 }),
};

let installation: Installation;
let operator: OperatorJsonClient;

beforeAll(async () => {
    installation = await testHarness.start({}, { replicas: 0 });
    operator = new OperatorJsonClient([...installation.entryVms.values()][0].ports.admin);
});

afterAll(async () => {
    expect(installation.recorder.violations).toEqual([]);
    await installation.close();
});

function countReplicas(payload: string): number {
    return [...installation.fleet.workers.values()]
        .flatMap(({ worker }) => worker.listRunning())
        .filter(task => task.spec.service === SERVICE.name && task.spec.payload === payload).length;
}

describe("operator calls on a service", () => {
    it("create it once, however often the call is repeated", async () => {
        const call = { changeId: "create-route", service: SERVICE };
        const first = await operator.call("CreateService", call);
        const again = await operator.call("CreateService", call);
        expect([first.ok, again.body]).toEqual([true, first.body]);
        await waitUntil("its replicas run", () => countReplicas(SERVICE.payload) === 2, testHarness.waitTimeoutMs);
    });

    it("refuse a second service of the same name as already existing", async () => {
        const answer = await operator.call("CreateService", { changeId: "create-other", service: SERVICE });
        expect(answer.body.code).toBe("already_exists");
    });

    it("update it, and new replicas replace the old ones", async () => {
        const payload = JSON.stringify({ serviceMs: 6 });
        const call = { changeId: "update-route", service: { ...SERVICE, payload } };
        expect((await operator.call("UpdateService", call)).ok).toBe(true);
        await waitUntil(
            "the new replicas run and the old ones don't",
            () => countReplicas(payload) === 2 && countReplicas(SERVICE.payload) === 0,
            testHarness.waitTimeoutMs,
        );
    });

    it("delete it, and its replicas stop", async () => {
        expect((await operator.call("DeleteService", { changeId: "delete-route", name: SERVICE.name })).ok).toBe(true);
        const isStopped = () =>
            [...installation.fleet.workers.values()].every(each => each.worker.listRunning().length === 0);
        await waitUntil("no replica of it runs", isStopped, testHarness.waitTimeoutMs);
        const unknown = await operator.call("DeleteService", { changeId: "delete-again", name: SERVICE.name });
        expect(unknown.body.code).toBe("not_found");
    });
});

describe("operator calls on a worker", () => {
    it("drain and restore it, and refuse a worker that isn't listed", async () => {
        const listWorkers = async () =>
            (await operator.call("ListWorkers", { domain: testHarness.domain })).body.workers as {
                name: string;
                drained?: boolean;
            }[];
        const [{ name }] = await listWorkers();
        const readDrained = async () => (await listWorkers()).find(each => each.name === name)?.drained ?? false;
        expect((await operator.call("DrainWorker", { changeId: "drain-1", worker: name })).ok).toBe(true);
        await waitUntil("the worker is drained", readDrained, testHarness.waitTimeoutMs);
        expect((await operator.call("RestoreWorker", { changeId: "restore-1", worker: name })).ok).toBe(true);
        await waitUntil("the worker is restored", async () => !await readDrained(), testHarness.waitTimeoutMs);
        const unknown = await operator.call("DrainWorker", { changeId: "drain-2", worker: "nothing" });
        expect(unknown.body.code).toBe("not_found");
    });
});

describe("the configuration history", () => {
    it("lists every accepted version in order, with the operator who published it", async () => {
        const { versions } = (await operator.call("ListConfigHistory", {})).body as {
            versions: { version?: number; operator?: string }[];
        };
        const numbers = versions.map(each => each.version ?? 0);
        expect(numbers).toEqual(numbers.map((_, i) => i));
        expect(versions.slice(1).every(each => each.operator === "operator")).toBe(true);
    });
});
