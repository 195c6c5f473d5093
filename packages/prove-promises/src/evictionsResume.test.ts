import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { createBatchTask, OperatorJsonClient, submitTasks, waitUntil } from "@sardinestage/stand-ins";
import type { Installation } from "@sardinestage/stand-ins";
import { testHarness } from "./testHarness.js";
import { waitForPhase } from "./waitForPhase.js";

const TOTAL_SLOTS = 4 * 8;
/**
 * Longer than `URGENT_START_MS`, so that no task ends and frees capacity before the urgent tasks must start, and longer
 * than the delays of starts on a busy machine, so that no task ends before the last one has started.
 */
const LONG_WORK_MS = 15_000;
/** Required maximum time until urgent tasks start, in milliseconds. */
const URGENT_START_MS = 10_000;

let installation: Installation;

beforeEach(async () => {
    installation = await testHarness.start({}, { replicas: 0 });
});

afterEach(async () => {
    expect(installation.recorder.violations).toEqual([]);
    await installation.close();
});

describe("an evicted task", () => {
    describe("when urgent tasks arrive and every worker is full", () => {
        it("is stopped in time, resumes exactly once from its checkpoint and finishes once", async () => {
            const low = Array.from({ length: TOTAL_SLOTS }, (_, i) => `${testHarness.domain}/low${i}`);
            await submitTasks(installation, low.map(taskId => createBatchTask(taskId, LONG_WORK_MS, { urgency: 0 })));
            await waitUntil(
                "every worker is full",
                () => installation.recorder.starts >= TOTAL_SLOTS,
                testHarness.waitTimeoutMs,
            );
            const urgent = Array.from({ length: 4 }, (_, i) => `${testHarness.domain}/urgent${i}`);
            const started = new Set<string>();
            installation.recorder.onStart = taskId => started.add(taskId);
            await submitTasks(installation, urgent.map(taskId => createBatchTask(taskId, 500, { urgency: 3 })));
            await waitUntil("the urgent tasks run", () => urgent.every(taskId => started.has(taskId)), URGENT_START_MS);
            expect(installation.recorder.stops).toBeGreaterThan(0);
            await waitForPhase(installation, [...low, ...urgent], "finished", testHarness.waitTimeoutMs);
            expect(installation.recorder.resumes).toBe(installation.recorder.stops);
            expect([...installation.recorder.completions.values()].every(times => times === 1)).toBe(true);
        });
    });

    describe("when an operator drains the worker", () => {
        it("resumes exactly once on another worker, and the drained worker gets no new task", async () => {
            const taskIds = Array.from({ length: 8 }, (_, i) => `${testHarness.domain}/t${i}`);
            await submitTasks(installation, taskIds.map(taskId => createBatchTask(taskId, LONG_WORK_MS)));
            const { recorder } = installation;
            // The number of starts doesn't show this: a task may start twice, or end before another one starts.
            await waitUntil(
                "all tasks run at once",
                () => taskIds.every(taskId => recorder.getRunningWorker(taskId) !== undefined),
                testHarness.waitTimeoutMs,
            );
            const worker = recorder.getRunningWorker(taskIds[0]) ?? "";
            const tasksOnWorker = taskIds.filter(taskId => recorder.getRunningWorker(taskId) === worker);
            const resumesBefore = recorder.resumes;
            const calls = new OperatorJsonClient([...installation.entryVms.values()][0].ports.admin);
            expect(await calls.call("DrainWorker", { changeId: "drain", worker })).toMatchObject({ ok: true });
            await waitUntil(
                "the worker has no running task",
                () => taskIds.every(taskId => recorder.getRunningWorker(taskId) !== worker),
                testHarness.waitTimeoutMs,
            );
            const startedOnWorker: string[] = [];
            recorder.onStart = (taskId, on) => on === worker && startedOnWorker.push(taskId);
            await waitForPhase(installation, taskIds, "finished", testHarness.waitTimeoutMs);
            expect(recorder.resumes - resumesBefore).toBe(tasksOnWorker.length);
            expect(startedOnWorker).toEqual([]);
        });
    });

    describe("when a worker fails every task that it starts", () => {
        it("finishes although that worker fails it", async () => {
            installation.fleet.getWorker("gent-haven-w0").worker.failsAllAttempts = true;
            const taskIds = Array.from({ length: 40 }, (_, i) => `${testHarness.domain}/t${i}`);
            await submitTasks(installation, taskIds.map(taskId => createBatchTask(taskId, 300)));
            await waitForPhase(installation, taskIds, "finished", testHarness.waitTimeoutMs);
        });
    });
});
