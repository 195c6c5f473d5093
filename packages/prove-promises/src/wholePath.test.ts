import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";
import { ExitCode } from "@sardinestage/run-process";
import {
    buildSettings,
    createDefaultPlan,
    ManagedProcess,
    OperatorJsonClient,
    sendRequest,
    waitUntil,
} from "@sardinestage/stand-ins";
import type { Installation } from "@sardinestage/stand-ins";
import type { VmRecord } from "@sardinestage/types";
import { RequestOutcome } from "@sardinestage/types";
import got from "got";
import { randomBytes } from "node:crypto";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { testHarness } from "./testHarness.js";

let installation: Installation;
let operator: OperatorJsonClient;
let port: number;

beforeAll(async () => {
    installation = await testHarness.start({
        settings: {
            ...createDefaultPlan().settings,
            entry: {
                entry: { maxBodyBytes: 300_000, clockSkewMs: 300 },
                routing: { grantIntervalMs: 200 },
            },
        },
    });
    operator = new OperatorJsonClient([...installation.entryVms.values()][0].ports.admin);
    port = testHarness.getCallerPort(installation, 0);
});

afterAll(async () => {
    expect(installation.recorder.violations).toEqual([]);
    await installation.close();
});

function createIdempotent(requestId: string) {
    return { port, service: testHarness.service, requestId, isIdempotent: true };
}

describe("the path of a request", () => {
    describe("when it is well formed", () => {
        for (const size of [0, 1_000, 250_000]) {
            it(`returns a body of ${size} bytes unchanged`, async () => {
                const body = randomBytes(size);
                const answer = await sendRequest({ ...createIdempotent(`size-${size}`), body });
                expect(answer.outcome).toBe(RequestOutcome.Answered);
                expect(answer.body.equals(body)).toBe(true);
            });
        }
    });

    describe("when it is not well formed or not allowed", () => {
        const cases: [string, object, string][] = [
            ["an unknown service", { service: "nothing" }, "unknown-service"],
            ["a wrong key", { key: "not-a-key" }, "unauthenticated"],
            ["a body over the limit", { body: Buffer.alloc(300_001) }, "body-too-large"],
            ["a deadline out of range", { deadlineMs: 0 }, "malformed"],
            [
                "an id that isn't a UUID of version 7",
                { isIdempotent: false, homeDomain: testHarness.domain },
                "malformed",
            ],
            ["a non-idempotent request without a home domain", { isIdempotent: false }, "malformed"],
        ];
        for (const [name, change, reason] of cases) {
            it(`refuses ${name} as not run and names the reason`, async () => {
                const answer = await sendRequest({ ...createIdempotent("bad"), ...change });
                expect([answer.outcome, answer.reason]).toEqual([RequestOutcome.Refused, reason]);
                expect(installation.recorder.requestRuns.has("bad")).toBe(false);
            });
        }

        it("counts each refusal by its reason and keeps serving", async () => {
            const { entryMetrics } = [...installation.entryVms.values()][0].ports;
            expect(await installation.readMetrics(entryMetrics)).toContain(
                "refusals_total{reason=\"unknown-service\"} 1",
            );
            expect((await sendRequest(createIdempotent("after"))).outcome).toBe(RequestOutcome.Answered);
        });
    });
});

describe("the path of a task", () => {
    const task = {
        taskId: "gent-haven/t1",
        team: "plans",
        urgency: 1,
        taskClass: "plan",
        expectedRunMs: 200,
        size: { cpuMillis: 1000, memoryMb: 100, slots: 1 },
        payload: JSON.stringify({ workMs: 200 }),
    };

    it("runs once, however often it is submitted, and its events are in the logbook", async () => {
        await Promise.all([1, 2, 3].map(() => operator.call("SubmitTask", { task })));
        await waitUntil("the task is finished", async () => {
            const { status } = (await operator.call("InspectTask", { taskId: task.taskId })).body as {
                status: { phase: string };
            };
            return status.phase === "finished";
        }, testHarness.waitTimeoutMs);
        expect(installation.recorder.completions.get(task.taskId)).toBe(1);
        const { lines } = (await operator.call("ReadLogbook", { taskId: task.taskId })).body as {
            lines: { event: string }[];
        };
        expect(lines.map(line => line.event)).toEqual(["submitted", "bound", "started", "succeeded"]);
    });

    it("refuses invalid submissions with the matching error code", async () => {
        const cases: [object, string][] = [
            [{ team: "nobody" }, "invalid-argument"],
            [{ taskId: "nowhere/t2" }, "invalid-argument"],
            [{ taskId: "gent-haven/t2", size: { cpuMillis: 99_000, slots: 1 } }, "invalid-argument"],
            [{ payload: "other" }, "already_exists"],
        ];
        for (const [change, code] of cases) {
            const answer = await operator.call("SubmitTask", { task: { ...task, ...change } });
            expect(answer.ok).toBe(false);
            expect(JSON.stringify(answer.body)).toContain(code.replace("invalid-argument", "invalid_argument"));
        }
    });

    it("refuses a call without a key and changes nothing", async () => {
        const { admin } = [...installation.entryVms.values()][0].ports;
        const url = `http://127.0.0.1:${admin}/sardinestage.v1.OperatorService/SubmitTask`;
        const answer = await got.post(url, {
            json: { task: { ...task, taskId: "gent-haven/t9" } },
            throwHttpErrors: false,
        });
        expect(answer.statusCode).toBe(401);
        expect((await operator.call("InspectTask", { taskId: "gent-haven/t9" })).ok).toBe(false);
    });
});

describe("a process that can't start", () => {
    async function runUntilExit(name: string, settings: object): Promise<number | undefined> {
        const started = new ManagedProcess("entry", name, settings, mkdtempSync(join(tmpdir(), "sardinestage-start-")));
        started.start();
        return started.waitForExit();
    }

    it("exits with a different code for each cause", async () => {
        const [{ record, ports }] = installation.entryVms.values();
        const build = (changes: Partial<VmRecord>) =>
            buildSettings(installation.plan, { ...record, ...changes }, ports, 1).entry;
        expect(await runUntilExit("wrong-settings", { process: { name: "x" } })).toBe(ExitCode.InvalidSettings);
        expect(await runUntilExit("port-in-use", build({}))).toBe(ExitCode.PortInUse);
        expect(await runUntilExit("address-refused", build({ address: "192.0.2.1" }))).toBe(ExitCode.StartRefused);
    });
});
