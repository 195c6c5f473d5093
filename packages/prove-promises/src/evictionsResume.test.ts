import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { createBatchTask, OperatorCalls, submitTasks, waitUntil } from "@sardinestage/stand-ins";
import type { Installation } from "@sardinestage/stand-ins";
import { testBed } from "./testBed.js";
import { waitForPhase } from "./waitForPhase.js";

const SLOTS = 4 * 8;
const WORK_MS = 6_000;
/** Long enough that nothing makes room by itself before urgent work has to start. */
const LONG_WORK_MS = 15_000;
/** The brief's bound on the start of urgent work, in milliseconds. */
const URGENT_START_MS = 10_000;

let installation: Installation;

beforeEach(async () => {
    installation = await testBed.start({}, { replicas: 0 });
});

afterEach(async () => {
    expect(installation.recorder.violations).toEqual([]);
    await installation.close();
});

describe("evicted work", () => {
    describe("when urgent work finds every worker full", () => {
        it("gives way in time, resumes exactly once from its checkpoint, and finishes once", async () => {
            const low = Array.from({ length: SLOTS }, (_, i) => `${testBed.domain}/low${i}`);
            await submitTasks(installation, low.map(taskId => createBatchTask(taskId, LONG_WORK_MS, { urgency: 0 })));
            await waitUntil("the workers are full", () => installation.recorder.starts >= SLOTS, testBed.limitMs);
            const urgent = Array.from({ length: 4 }, (_, i) => `${testBed.domain}/urgent${i}`);
            const started = new Set<string>();
            installation.recorder.onStart = taskId => started.add(taskId);
            await submitTasks(installation, urgent.map(taskId => createBatchTask(taskId, 500, { urgency: 3 })));
            await waitUntil("urgent work runs", () => urgent.every(taskId => started.has(taskId)), URGENT_START_MS);
            expect(installation.recorder.stops).toBeGreaterThan(0);
            await waitForPhase(installation, [...low, ...urgent], "finished", testBed.limitMs);
            expect(installation.recorder.resumes).toBe(installation.recorder.stops);
            expect([...installation.recorder.completions.values()].every(times => times === 1)).toBe(true);
        });
    });

    describe("when an operator drains the worker", () => {
        it("resumes exactly once on another, and the drained worker gets nothing new", async () => {
            const taskIds = Array.from({ length: 8 }, (_, i) => `${testBed.domain}/t${i}`);
            await submitTasks(installation, taskIds.map(taskId => createBatchTask(taskId, WORK_MS)));
            await waitUntil("all tasks run", () => installation.recorder.starts >= 8, testBed.limitMs);
            const worker = installation.recorder.getRunningWorker(taskIds[0]) ?? "";
            const there = taskIds.filter(taskId => installation.recorder.getRunningWorker(taskId) === worker);
            const calls = new OperatorCalls([...installation.entryVms.values()][0].ports.admin);
            expect((await calls.call("DrainWorker", { changeId: "drain", worker })).ok).toBe(true);
            await waitUntil(
                "the worker is empty",
                () => taskIds.every(taskId => installation.recorder.getRunningWorker(taskId) !== worker),
                testBed.limitMs,
            );
            const late: string[] = [];
            installation.recorder.onStart = (taskId, on) => on === worker && late.push(taskId);
            await waitForPhase(installation, taskIds, "finished", testBed.limitMs);
            expect(installation.recorder.resumes).toBe(there.length);
            expect(late).toEqual([]);
        });
    });

    describe("when a worker fails everything that it starts", () => {
        it("is done by others, and the worker is found out", async () => {
            installation.fleet.getWorker("gent-haven-w0").worker.failsEverything = true;
            const taskIds = Array.from({ length: 40 }, (_, i) => `${testBed.domain}/t${i}`);
            await submitTasks(installation, taskIds.map(taskId => createBatchTask(taskId, 300)));
            await waitForPhase(installation, taskIds, "finished", testBed.limitMs);
        });
    });
});
