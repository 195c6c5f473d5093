import { describe, expect, it } from "@jest/globals";
import type { JobSpec, StepSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const WORKERS = 8;
const USUAL_MS = 600;
const FOREVER_MS = 600_000;
/** Tasks that hold enough processor for two copies to be within a tenth of it. */
const BACKGROUND_TASKS = 24;
const SLOW_TASKS = 2;

function createSpec(changes: Partial<StepSpec>): JobSpec {
    const steps = [createStep({ estimateMs: USUAL_MS, ...changes })];
    return { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

describe("CopyStarter", () => {
    // Guards against copies of several tasks of a step that are planned together on a worker which may have one task of it.
    it("keeps the limit of a step's tasks on a worker when several tasks get copies at once", async () => {
        const harness = new CoordinatorHarness(
            () => 0.5,
            ({ jobId }) => jobId === "usual" ? USUAL_MS : FOREVER_MS,
        );
        harness.features = { ...noSchedulingFeatures, copiesSlowTasks: true };
        for (let index = 0; index < WORKERS; index++) {
            void harness.addWorker(`w${index}`);
        }
        await harness.clock.runFor(50);
        harness.startTerm(false);
        void harness.submit("background", createSpec({ taskCount: BACKGROUND_TASKS, image: "other" }), createQueue());
        const usual = { image: "usual", speculative: true };
        void harness.submit("usual", createSpec({ ...usual, taskCount: 20 }), createQueue());
        await harness.clock.runFor(3000);
        const slow = { ...usual, taskCount: SLOW_TASKS, maxTasksPerWorker: 1 };
        void harness.submit("slow", createSpec(slow), createQueue());
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
});
