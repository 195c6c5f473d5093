import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FIXED_RANDOM = () => 0.5;
const WORKERS = 8;
const LARGE_TASKS = 9000;
const LONG_MS = 600_000;
const SHORT_MS = 500;

function createSpec(step: Parameters<typeof createStep>[0]): JobSpec {
    return { payload: "", steps: [createStep(step)], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

// Guards against a job whose record outgrows the store's limit: nothing was recorded any more, for any job.
describe("While 9,000 tasks of one job run", () => {
    it("other jobs start and end, also after a takeover, and a cancellation ends the large one", async () => {
        const harness = new CoordinatorHarness(FIXED_RANDOM, task => task.jobId === "large" ? LONG_MS : SHORT_MS);
        const { clock, runChecker } = harness;
        for (let index = 0; index < WORKERS; index++) {
            void harness.addWorker(`worker-with-a-long-name-${index}`);
        }
        await clock.runFor(50);
        harness.startTerm(false);
        void harness.submit("large", createSpec({ taskCount: LARGE_TASKS, cpuMillis: 2, memoryMb: 2 }), createQueue());
        for (let passed = 0; passed < 60 && runChecker.countActiveRuns() < LARGE_TASKS; passed++) {
            await clock.runFor(500);
        }
        expect(runChecker.countActiveRuns()).toBe(LARGE_TASKS);
        void harness.submit("small", createSpec({ taskCount: 4 }), createQueue());
        await clock.runFor(3000);
        expect(await harness.coordinator?.getState("small")).toBe(JobState.Completed);
        harness.coordinator?.close();
        harness.startTerm(false);
        await clock.runFor(3000);
        expect(runChecker.countActiveRuns()).toBe(LARGE_TASKS);
        void harness.submit("later", createSpec({ taskCount: 4 }), createQueue());
        await clock.runFor(3000);
        expect(await harness.coordinator?.getState("later")).toBe(JobState.Completed);
        void harness.cancel("large");
        await clock.runFor(8000);
        expect(runChecker.countActiveRuns()).toBe(0);
        expect(await harness.countProgressParts()).toBe(0);
        expect(runChecker.violations).toEqual([]);
    });
});
