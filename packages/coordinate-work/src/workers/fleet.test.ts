import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FIXED_RANDOM = () => 0.5;
/** The loss of a coordinator is noticed after 1 s; its check, the candidacy and the wait in turn take another 1.5 s. */
const SUCCEEDED_AFTER_MS = 2500;
/** A lost task has to run again within 3 s, counted from 6 s after its last run was active (requirement LOST). */
const AWAY_MS = 9000;

describe("Fleet", () => {
    describe("when a worker and the coordinator fail at the same moment", () => {
        it("runs the worker's long-running tasks elsewhere in time", async () => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, () => 120_000);
            void harness.addWorker("lost");
            await harness.clock.runFor(20);
            harness.startTerm(false);
            const steps = [createStep({ taskCount: 8, longRunning: true })];
            const spec: JobSpec = { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
            void harness.submit("lasting", spec, createQueue());
            await harness.clock.runFor(1000);
            void harness.addWorker("other");
            await harness.clock.runFor(1000);
            expect(harness.runChecker.countActiveRuns()).toBe(8);
            harness.coordinator?.close();
            harness.stopWorker("lost");
            await harness.clock.runFor(SUCCEEDED_AFTER_MS);
            harness.startTerm(false);
            await harness.clock.runFor(AWAY_MS - SUCCEEDED_AFTER_MS);
            expect(harness.runChecker.violations).toEqual([]);
            expect(harness.runChecker.countActiveRuns()).toBe(8);
        });
    });
});
