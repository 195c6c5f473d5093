import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FIXED_RANDOM = () => 0.5;

describe("A start that reaches the next life of a worker, which is cut off before it has answered a renewal", () => {
    // Guards against a lease that is taken for over while the next life, which got a deadline of the former clock, holds it.
    it("has the lasting task started elsewhere only after that life's lease is over", async () => {
        const harness = new CoordinatorHarness(FIXED_RANDOM, () => 600_000);
        const { clock, fleet, runChecker } = harness;
        void harness.addWorker("w");
        await clock.runFor(50);
        harness.startTerm(false);
        await clock.runFor(20_000);
        // Half of the maximum is drawn each time.
        fleet.faults.startDelays = { maxDeliveryMs: 100, maxAnswerMs: 0 };
        const steps = [createStep({ longRunning: true })];
        void harness.submit("job", { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 }, createQueue());
        while (!harness.events.some(event => event.includes("run-order"))) {
            await clock.runFor(1);
        }
        await clock.runFor(10);
        harness.resetWorker("w");
        await clock.runFor(60);
        expect(runChecker.countActiveRuns()).toBe(1);
        Object.assign(fleet.workers.get("w") ?? {}, { isUnreachable: true });
        void harness.addWorker("other");
        await clock.runFor(15_000);
        expect(runChecker.violations).toEqual([]);
        expect(runChecker.countActiveRuns()).toBe(1);
    });
});
