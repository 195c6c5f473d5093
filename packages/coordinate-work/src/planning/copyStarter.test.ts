import { describe, expect, it } from "@jest/globals";
import type { JobSpec, StepSpec, TaskRef } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import type { SchedulingFeatures } from "../schedulingFeatures.js";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const WORKERS = 8;
const USUAL_MS = 600;
const FOREVER_MS = 600_000;
/** Tasks that hold enough processor for two copies to be within a tenth of it. */
const BACKGROUND_TASKS = 24;
const SLOW_TASKS = 2;
const FAILING_MS = 100;
const usual = { image: "usual", speculative: true };

function createSpec(changes: Partial<StepSpec>): JobSpec {
    const steps = [createStep({ estimateMs: USUAL_MS, ...changes })];
    return { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

/** Starts workers and runs tasks on them from which the usual duration is learned. */
async function startFleet(
    getDuration: (task: TaskRef, run: number) => number,
    features: Partial<SchedulingFeatures> = {},
): Promise<CoordinatorHarness> {
    const harness = new CoordinatorHarness(() => 0.5, getDuration);
    harness.features = { ...noSchedulingFeatures, copiesSlowTasks: true, ...features };
    for (let index = 0; index < WORKERS; index++) {
        void harness.addWorker(`w${index}`);
    }
    await harness.clock.runFor(50);
    harness.startTerm(false);
    void harness.submit("background", createSpec({ taskCount: BACKGROUND_TASKS, image: "other" }), createQueue());
    void harness.submit("usual", createSpec({ ...usual, taskCount: 20 }), createQueue());
    await harness.clock.runFor(3000);
    return harness;
}

function submitSlow(harness: CoordinatorHarness): void {
    const slow = { ...usual, taskCount: SLOW_TASKS, maxTasksPerWorker: 1 };
    void harness.submit("slow", createSpec(slow), createQueue());
}

describe("CopyStarter", () => {
    // Guards against copies of several tasks of a step that are planned together on a worker which may have one task of it.
    it("keeps the limit of a step's tasks on a worker when several tasks get copies at once", async () => {
        const harness = await startFleet(({ jobId }) => jobId === "usual" ? USUAL_MS : FOREVER_MS);
        submitSlow(harness);
        await harness.clock.runFor(200);
        // Much emptier than the others, so that it is the best one for each copy.
        void harness.addWorker("empty");
        await harness.clock.runFor(4000);
        const copies = harness.events.filter(event => event.includes("copy-started"));
        const workers = copies.map(event => /"worker":"(\w+)"/.exec(event)?.[1]);
        expect(copies).toHaveLength(SLOW_TASKS);
        expect(new Set(workers).size).toBe(SLOW_TASKS);
        expect(harness.runChecker.violations).toEqual([]);
    });

    // Guards against copies on the proven workers that a task with one attempt left waits for.
    it("starts no copy while a task of the same priority waits for a proven worker", async () => {
        const harness = await startFleet(({ jobId }, run) => {
            const usualMs = jobId === "usual" || jobId === "failing" ? USUAL_MS : FOREVER_MS;
            return jobId === "failing" && run === 1 ? -FAILING_MS : usualMs;
        }, { protectsLastAttempts: true });
        submitSlow(harness);
        // Has so much time that it waits for a run that is started after its failure and proves a worker.
        const patient = createQueue({ maxAttempts: 2, targetLatencyMs: 60_000 });
        void harness.submit("failing", createSpec({ image: "failing" }), patient);
        await harness.clock.runFor(6000);
        const findTime = (pattern: string) => {
            const found = harness.events.find(event => event.includes(pattern));
            return found === undefined ? Infinity : Number(found.split(" ")[0]);
        };
        const retriedAtMs = findTime("run-order {\"task\":\"failing/0/0/0\",\"run\":2");
        const failedAtMs = findTime("run-end {\"task\":\"failing/0/0/0\",\"run\":1");
        expect(retriedAtMs - failedAtMs).toBeGreaterThan(1500);
        expect(findTime("copy-started")).toBeGreaterThanOrEqual(retriedAtMs);
        expect(findTime("copy-started")).toBeLessThan(Infinity);
    });

    // Guards against a third run of a task: a new coordinator stops one of the two runs that it finds, which takes a while.
    it("starts no copy of a task while an earlier run of it is being stopped after a takeover", async () => {
        const harness = await startFleet(({ jobId }) => jobId === "usual" ? USUAL_MS : FOREVER_MS);
        submitSlow(harness);
        await harness.clock.runFor(4000);
        const countCopies = () => harness.events.filter(event => event.includes("copy-started")).length;
        expect(countCopies()).toBe(SLOW_TASKS);
        harness.coordinator?.close();
        harness.startTerm(false);
        await harness.clock.runFor(4000);
        expect(countCopies()).toBe(2 * SLOW_TASKS);
        expect(harness.runChecker.violations).toEqual([]);
    });

    // Guards against a task that is started again although it is done: its copy, which is still being stopped when a new
    // coordinator takes over, was taken for a newer run of the task, so that the recorded end was forgotten.
    it("doesn't start a done task again whose copy is active at a takeover", async () => {
        // The copies work on for long after the tasks themselves are done.
        const harness = await startFleet(({ jobId, step }, run) => {
            const slowMs = run === 1 && step === 0 ? 2 * USUAL_MS : FOREVER_MS;
            return jobId === "usual" ? USUAL_MS : jobId === "slow" ? slowMs : FOREVER_MS;
        });
        const slow = createStep({ ...usual, estimateMs: USUAL_MS, taskCount: SLOW_TASKS, maxTasksPerWorker: 1 });
        const spec = { ...createSpec({}), steps: [slow, createStep({ dependsOn: [0] })] };
        void harness.submit("slow", spec, createQueue());
        const countEnds = () => harness.events.filter(event => /run-end .*"slow.*"Done"/.test(event)).length;
        for (let waited = 0; waited < 400 && countEnds() < SLOW_TASKS; waited++) {
            await harness.clock.runFor(10);
        }
        expect(harness.events.filter(event => event.includes("copy-started"))).toHaveLength(SLOW_TASKS);
        // Long enough for the ends to be recorded and acknowledged, and shorter than the stop of the copies.
        await harness.clock.runFor(100);
        harness.coordinator?.close();
        harness.startTerm(false);
        await harness.clock.runFor(4000);
        expect(harness.runChecker.violations).toEqual([]);
        expect(harness.events.filter(event => event.includes("run-adopted") && event.includes("slow/0/0"))).toEqual([]);
    });
});
