import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const ALWAYS = () => 0.5;

function createSpec(steps = [createStep()]): JobSpec {
    return { payload: "payload", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

describe("PreemptionController", () => {
    describe("when tasks are preempted for several interrupted tasks on one worker", () => {
        it("stops no more tasks than these need", async () => {
            const harness = new CoordinatorHarness(ALWAYS, () => 120_000);
            ["w0", "w1", "w2"].forEach(id => void harness.addWorker(id));
            await harness.clock.runFor(20);
            harness.startTerm(false);
            const bestEffort = createStep({ taskCount: 3 * 64, isBestEffort: true, savesProgress: true });
            void harness.submit("best-effort", createSpec([bestEffort]), createQueue({ priority: 2 }));
            await harness.clock.runFor(2000);
            expect(harness.runChecker.countActiveRuns()).toBe(3 * 64);
            void harness.addWorker("lost");
            await harness.clock.runFor(1000);
            const longRunning = createStep({ taskCount: 8, longRunning: true, memoryMb: 8000 });
            void harness.submit("interrupted", createSpec([longRunning]), createQueue());
            await harness.clock.runFor(4000);
            expect(harness.runChecker.countActiveRuns()).toBe(3 * 64 + 8);
            harness.stopWorker("lost");
            await harness.clock.runFor(8000);
            const interruptedStarts = harness.events.filter(event =>
                event.includes("run-order") && event.includes("interrupted")
            );
            expect(interruptedStarts.length).toBeGreaterThanOrEqual(16);
            const preempted = harness.events.filter(event => event.includes("displaced"));
            // Eight tasks of 8 GB need the memory of 64 tasks of 1 GB.
            expect(preempted.length).toBe(64);
            expect(harness.runChecker.countActiveRuns()).toBe(2 * 64 + 8);
        });
    });
});
