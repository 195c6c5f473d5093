import { describe, expect, it } from "@jest/globals";
import type { JobSpec, StepSpec, TaskRef } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FOREVER_MS = 600_000;
const SEED = 38;
const WORKERS = 32;
const LASTING_TASKS = 8;
const SHORT_MS = 500;
/** A task that is to last may be without a run for so long, however full the service is, in milliseconds. */
const MAX_WAIT_MS = 7000;

function createSpec(changes: Partial<StepSpec>): JobSpec {
    return { payload: "", steps: [createStep(changes)], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

function getDuration({ jobId, index }: TaskRef): number {
    return jobId === "short" ? SHORT_MS * (0.5 + (index * 37 % 100) / 100) : FOREVER_MS;
}

// Guards against workers that stay reserved behind very long work, while other workers would have room much sooner.
describe("Long-running tasks that have never run, on a fleet full of short tasks where some work takes very long", () => {
    it.each([
        { longTasks: 0, reservesCapacity: false },
        { longTasks: 1, reservesCapacity: false },
        { longTasks: 2, reservesCapacity: false },
        { longTasks: 4, reservesCapacity: false },
        { longTasks: 0, reservesCapacity: true },
        { longTasks: 4, reservesCapacity: true },
    ])("start in time on the other workers: %j", async ({ longTasks, reservesCapacity }) => {
        const harness = new CoordinatorHarness(createRandom(SEED), getDuration);
        harness.features = { ...noSchedulingFeatures, reservesCapacity };
        const { clock, runChecker } = harness;
        for (let index = 0; index < WORKERS; index++) {
            void harness.addWorker(`w${index}`);
        }
        await clock.runFor(50);
        harness.startTerm(false);
        await clock.runFor(500);
        const submit = async (id: string, changes: Partial<StepSpec>, waitMs: number) => {
            if (changes.taskCount !== 0) {
                void harness.submit(id, createSpec(changes), createQueue());
            }
            await clock.runFor(waitMs);
        };
        await submit("base", { taskCount: WORKERS, longRunning: true, cpuMillis: 10_000, maxTasksPerWorker: 1 }, 2000);
        await submit("long", { taskCount: longTasks, cpuMillis: 2000, maxTasksPerWorker: 1 }, 1000);
        await submit("short", { taskCount: 9000, cpuMillis: 2000, estimateMs: SHORT_MS }, 3000);
        await submit("lasting", { taskCount: LASTING_TASKS, longRunning: true, cpuMillis: 5000 }, MAX_WAIT_MS);
        const started = Array.from({ length: LASTING_TASKS }, (_unused, index) => index)
            .filter(index => runChecker.isRunning({ jobId: "lasting", occurrence: 0, step: 0, index }));
        expect(started).toHaveLength(LASTING_TASKS);
        expect(runChecker.violations).toEqual([]);
    });
});
