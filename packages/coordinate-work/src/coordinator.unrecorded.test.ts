import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "./testing/coordinatorHarness.js";
import { createQueue } from "./testing/createQueue.js";

const FIXED_RANDOM = () => 0.5;

function createSpec(steps = [createStep()]): JobSpec {
    return { payload: "payload", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

describe("Coordinator after one that left unrecorded runs", () => {
    describe("when a task failed and was started again while the store was unavailable", () => {
        /**
         * Sets up a task whose first run is recorded and fails while the store is down; its second run is active when
         * the next term begins.
         */
        async function createOutage(secondMs: number) {
            const harness = new CoordinatorHarness(
                FIXED_RANDOM,
                (_task, run) => run === 1 ? -1500 : run === 2 ? secondMs : 1500,
            );
            void harness.addWorker("w0");
            void harness.addWorker("w1");
            await harness.clock.runFor(20);
            harness.startTerm(false);
            await harness.clock.runFor(500);
            void harness.submit("job", createSpec(), createQueue({ maxAttempts: 9 }));
            await harness.clock.runFor(200);
            harness.store.faults.isDown = true;
            const isRestarted = () => harness.events.filter(event => event.includes("run-order")).length === 2;
            while (!isRestarted() || harness.runChecker.countActiveRuns() === 0) {
                await harness.clock.runFor(10);
            }
            const orders = harness.events.filter(event => event.includes("run-order"));
            const findWorker = (run: number) =>
                harness.fleet.workers.get(orders[run - 1].includes("\"w0\"") ? "w0" : "w1");
            const [first, second] = [findWorker(1), findWorker(2)];
            expect(first).not.toBe(second);
            harness.coordinator?.close();
            harness.store.faults.isDown = false;
            return { harness, first, second };
        }

        it("keeps the second run even if its worker reports before the worker of the first run", async () => {
            const { harness, first } = await createOutage(2000);
            if (first !== undefined) {
                first.isUnreachable = true;
                harness.clock.schedule(700, () => first.isUnreachable = false);
            }
            harness.startTerm(true);
            await harness.clock.runFor(9000);
            expect(harness.events.filter(event => event.includes("stray"))).toEqual([]);
            expect(harness.runChecker.violations).toEqual([]);
            expect(await harness.coordinator?.getState("job")).toBe(JobState.Completed);
        });

        it("doesn't count the third run as lost when the lease of the first run's worker expires", async () => {
            const { harness, first } = await createOutage(-600);
            await harness.clock.runFor(1000);
            harness.fleet.workers.delete(first?.id ?? "");
            void harness.withdrawEntry(first?.id ?? "");
            await harness.clock.runFor(100);
            harness.startTerm(true);
            await harness.clock.runFor(12_000);
            expect(harness.events.filter(event => event.includes("run-lost"))).toEqual([]);
            expect(harness.runChecker.violations).toEqual([]);
        });
    });

    describe("when runs may have been started unrecorded before a takeover", () => {
        it("reports unrecorded starts until all workers' runs are known and recorded", async () => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, () => 9000);
            void harness.addWorker("w0");
            void harness.addWorker("w1");
            await harness.clock.runFor(20);
            harness.startTerm(false);
            await harness.clock.runFor(500);
            expect(harness.coordinator?.hasUnrecordedStarts).toBe(false);
            void harness.submit("job", createSpec([createStep({ taskCount: 2 })]), createQueue());
            await harness.clock.runFor(200);
            harness.coordinator?.close();
            harness.startTerm(true);
            expect(harness.coordinator?.hasUnrecordedStarts).toBe(true);
            await harness.clock.runFor(1900);
            expect(harness.coordinator?.hasUnrecordedStarts).toBe(true);
            await harness.clock.runFor(600);
            expect(harness.coordinator?.hasUnrecordedStarts).toBe(false);
        });
    });
});
