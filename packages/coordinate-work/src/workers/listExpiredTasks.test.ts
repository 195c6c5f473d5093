import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FIXED_RANDOM = () => 0.5;
const RUN_MS = 3000;

function createSpec(longRunning: boolean): JobSpec {
    return { payload: "", steps: [createStep({ longRunning })], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

/** Creates a worker that runs a task and is then cut off from the coordinator, and a second worker. */
async function createCutWorker(longRunning: boolean): Promise<CoordinatorHarness> {
    const harness = new CoordinatorHarness(FIXED_RANDOM, () => longRunning ? 120_000 : RUN_MS);
    void harness.addWorker("cut");
    await harness.clock.runFor(20);
    harness.startTerm(false);
    void harness.submit("job", createSpec(longRunning), createQueue());
    await harness.clock.runFor(1000);
    expect(harness.runChecker.countActiveRuns()).toBe(1);
    Object.assign(harness.fleet.workers.get("cut") ?? {}, { isUnreachable: true });
    void harness.addWorker("other");
    return harness;
}

function countOrders(harness: CoordinatorHarness): number {
    return harness.events.filter(event => event.includes("run-order")).length;
}

describe("listExpiredTasks", () => {
    describe("when a run has succeeded on a worker that is listed but silent beyond its lease", () => {
        it("doesn't start the task again, since its end is only unreported", async () => {
            const harness = await createCutWorker(false);
            await harness.clock.runFor(8000);
            expect([...harness.runChecker.completedTasks]).toEqual(["job/0/0/0"]);
            Object.assign(harness.fleet.workers.get("cut") ?? {}, { isUnreachable: false });
            await harness.clock.runFor(2000);
            expect(countOrders(harness)).toBe(1);
            expect(await harness.coordinator?.getState("job")).toBe(JobState.Completed);
        });

        it("starts the task elsewhere once the worker is no longer listed", async () => {
            const harness = await createCutWorker(false);
            void harness.withdrawEntry("cut");
            await harness.clock.runFor(6000);
            expect(countOrders(harness)).toBe(2);
        });

        it("starts the task elsewhere if the worker stays silent", async () => {
            const harness = await createCutWorker(false);
            await harness.clock.runFor(12_000);
            expect(countOrders(harness)).toBe(2);
        });
    });

    describe("when a long-running task was active on the silent worker", () => {
        it("starts the task elsewhere as soon as the lease has expired", async () => {
            const harness = await createCutWorker(true);
            await harness.clock.runFor(5500);
            expect(countOrders(harness)).toBe(2);
            expect(harness.runChecker.countActiveRuns()).toBe(1);
        });
    });
});
