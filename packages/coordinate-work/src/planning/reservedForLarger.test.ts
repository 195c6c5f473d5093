import { describe, expect, it } from "@jest/globals";
import type { JobSpec, StepSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FOREVER_MS = 600_000;
/** A long-running task may be without a run for so long after its worker has gone, in milliseconds. */
const MAX_WAIT_MS = 9000;
/** Of two late steps, the one with the longer estimate has less slack, and comes first in the start order. */
const FIRST_MS = 5000;
const SECOND_MS = 99;

function createSpec(changes: Partial<StepSpec>): JobSpec {
    return { payload: "", steps: [createStep(changes)], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

// Guards against a worker that is kept for a task which can't start there for long, while another one could.
describe("When two interrupted long-running tasks wait for the only worker, which has no room for the larger one", () => {
    it.each([
        { first: "large", batchCpuMillis: 0 },
        { first: "small", batchCpuMillis: 0 },
        { first: "large", batchCpuMillis: 6000 },
        { first: "small", batchCpuMillis: 6000 },
    ])("the smaller one runs in time: $first goes first, stoppable work of $batchCpuMillis", async options => {
        const { first, batchCpuMillis } = options;
        const harness = new CoordinatorHarness(() => 0.5, () => FOREVER_MS);
        const { clock } = harness;
        const submit = async (id: string, changes: Partial<StepSpec>, priority: number) => {
            void harness.submit(id, createSpec(changes), createQueue({ priority }));
            await clock.runFor(3000);
        };
        void harness.addWorker("w0");
        await clock.runFor(50);
        harness.startTerm(false);
        await clock.runFor(500);
        const [large, small] = first === "large" ? [FIRST_MS, SECOND_MS] : [SECOND_MS, FIRST_MS];
        await submit("large", { longRunning: true, cpuMillis: 10_000, estimateMs: large }, 1);
        await submit("small", { longRunning: true, cpuMillis: 4000, estimateMs: small }, 1);
        expect(harness.runChecker.countActiveRuns()).toBe(2);
        void harness.addWorker("w1");
        await clock.runFor(500);
        // Of the same priority as the two, so that nothing stops it for them. It uses less than half of the worker, and what
        // is left is enough for the smaller one twice over.
        await submit("equal", { cpuMillis: 7000 }, 1);
        if (batchCpuMillis > 0) {
            await submit("batch", { cpuMillis: batchCpuMillis }, 2);
        }
        const from = harness.events.length;
        harness.stopWorker("w0");
        await clock.runFor(MAX_WAIT_MS);
        const later = harness.events.slice(from);
        const starts = later.filter(event => event.includes(" run-order ") && event.includes("small")).length;
        const stops = later.filter(event => event.includes(" stop-order ")).length;
        expect({ starts, stops }).toEqual({ starts: 1, stops: batchCpuMillis > 0 ? 1 : 0 });
    });
});

// Guards against a larger task that never gets its room, as smaller ones take each piece of it.
describe("When a smaller interrupted task has taken room on the worker that a larger one waits for", () => {
    it.each(["large", "small"])("both run in time, in place of work of lower priority: %s goes first", async first => {
        const harness = new CoordinatorHarness(() => 0.5, () => FOREVER_MS);
        const { clock } = harness;
        const submit = async (id: string, changes: Partial<StepSpec>, priority: number) => {
            void harness.submit(id, createSpec(changes), createQueue({ priority }));
            await clock.runFor(3000);
        };
        void harness.addWorker("w0");
        await clock.runFor(50);
        harness.startTerm(false);
        await clock.runFor(500);
        const [large, small] = first === "large" ? [FIRST_MS, SECOND_MS] : [SECOND_MS, FIRST_MS];
        await submit("large", { longRunning: true, cpuMillis: 10_000, estimateMs: large }, 1);
        await submit("small", { longRunning: true, cpuMillis: 4000, estimateMs: small }, 1);
        void harness.addWorker("w1");
        await clock.runFor(500);
        await submit("batch", { taskCount: 4, cpuMillis: 2000 }, 2);
        harness.stopWorker("w0");
        await clock.runFor(MAX_WAIT_MS);
        const isRunning = (jobId: string) => harness.runChecker.isRunning({ jobId, occurrence: 0, step: 0, index: 0 });
        expect({ large: isRunning("large"), small: isRunning("small") }).toEqual({ large: true, small: true });
        expect(harness.runChecker.violations).toEqual([]);
    });
});
