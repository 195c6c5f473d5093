import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FIXED_RANDOM = () => 0.5;
/** Times from a start's arrival at the next life of its worker to the next coordinator's term, in milliseconds. */
const WAITS_MS = [0, 100, 200, 400, 600, 800, 1000];

// Guards against a lease that the next coordinator takes for over while the life that got a start holds it.
describe("A start that reaches the next life of a worker, which the next coordinator can't reach", () => {
    it.each(WAITS_MS)(
        "has the lasting task started elsewhere only after that life's lease, term after %d ms",
        async waitMs => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, () => 600_000);
            const { clock, fleet, runChecker } = harness;
            void harness.addWorker("w");
            await clock.runFor(50);
            harness.startTerm(false);
            await clock.runFor(20_000);
            // Half of the maximum is drawn each time.
            fleet.faults.startDelays = { maxDeliveryMs: 100, maxAnswerMs: 0 };
            const steps = [createStep({ longRunning: true })];
            void harness.submit(
                "job",
                { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 },
                createQueue(),
            );
            while (!harness.events.some(event => event.includes("run-order"))) {
                await clock.runFor(1);
            }
            await clock.runFor(10);
            harness.resetWorker("w");
            await clock.runFor(60);
            expect(runChecker.countActiveRuns()).toBe(1);
            Object.assign(fleet.workers.get("w") ?? {}, { isUnreachable: true });
            harness.coordinator?.close();
            void harness.addWorker("other");
            await clock.runFor(waitMs);
            harness.startTerm(true);
            await clock.runFor(15_000);
            expect(runChecker.violations).toEqual([]);
            expect(runChecker.countActiveRuns()).toBe(1);
        },
    );
});
