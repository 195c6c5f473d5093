import { describe, expect, it } from "@jest/globals";
import type { JobSpec, TaskRef } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FOREVER_MS = 600_000;
const FAILING_MS = 100;
const SHORT_MS = 300;
/** A fault that outlasts the growth of probations, in milliseconds. */
const LONG_FAULT_MS = 20_000;
/** A long-running task may be without a run for 3 s, once nothing has been wrong for 4 s. */
const MAX_WAIT_MS = 7000;

function createSpec(taskCount: number, longRunning: boolean): JobSpec {
    const steps = [createStep({ taskCount, longRunning })];
    return { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

/** A coordinator with one worker, which fails all runs that begin while it is at fault. */
async function createHarness(fault: { isActive: boolean }): Promise<CoordinatorHarness> {
    const harness = new CoordinatorHarness(
        () => 0.5,
        ({ jobId }: TaskRef) => fault.isActive ? -FAILING_MS : jobId.startsWith("lasting") ? FOREVER_MS : SHORT_MS,
    );
    void harness.addWorker("w");
    await harness.clock.runFor(50);
    harness.startTerm(false);
    await harness.clock.runFor(500);
    return harness;
}

/** Lets the worker fail runs of two jobs until it is put on probation, and is sound from then on. */
async function injectProbation(harness: CoordinatorHarness, fault: { isActive: boolean }): Promise<void> {
    fault.isActive = true;
    void harness.submit("failing1", createSpec(2, false), createQueue({ maxAttempts: 100 }));
    void harness.submit("failing2", createSpec(2, false), createQueue({ maxAttempts: 100 }));
    while (!harness.events.some(event => event.includes("worker-probation"))) {
        await harness.clock.runFor(10);
    }
    fault.isActive = false;
}

describe("A worker whose probation is over", () => {
    describe("when long-running tasks have run there since before", () => {
        it("gets other work again, which ends its trial", async () => {
            const fault = { isActive: false };
            const harness = await createHarness(fault);
            void harness.submit("lasting", createSpec(4, true), createQueue());
            await harness.clock.runFor(1000);
            await injectProbation(harness, fault);
            void harness.submit("later", createSpec(4, false), createQueue());
            await harness.clock.runFor(MAX_WAIT_MS);
            expect(await harness.coordinator?.getState("failing1")).toBe(JobState.Completed);
            expect(await harness.coordinator?.getState("later")).toBe(JobState.Completed);
            expect(harness.runChecker.countActiveRuns()).toBe(4);
        });
    });

    describe("when only long-running tasks wait, which never end as done", () => {
        it("gets all of them, once the first has run for a while", async () => {
            const fault = { isActive: false };
            const harness = await createHarness(fault);
            await injectProbation(harness, fault);
            void harness.cancel("failing1");
            void harness.cancel("failing2");
            void harness.submit("lasting", createSpec(4, true), createQueue());
            await harness.clock.runFor(MAX_WAIT_MS);
            expect(harness.runChecker.countActiveRuns()).toBe(4);
        });
    });

    describe("when it was at fault for long", () => {
        it("is at the disposal of long-running tasks in time after the fault", async () => {
            const fault = { isActive: false };
            const harness = await createHarness(fault);
            await injectProbation(harness, fault);
            fault.isActive = true;
            await harness.clock.runFor(LONG_FAULT_MS);
            const countProbations = () => harness.events.filter(event => event.includes("worker-probation")).length;
            const before = countProbations();
            while (countProbations() === before) {
                await harness.clock.runFor(10);
            }
            fault.isActive = false;
            void harness.submit("lasting", createSpec(4, true), createQueue());
            await harness.clock.runFor(MAX_WAIT_MS);
            expect(harness.runChecker.countActiveRuns()).toBeGreaterThanOrEqual(4);
        });
    });

    describe("when it is still at fault", () => {
        it("gets one task at a time, beside those that have run there since before", async () => {
            const fault = { isActive: false };
            const harness = await createHarness(fault);
            void harness.submit("lasting", createSpec(4, true), createQueue());
            await harness.clock.runFor(1000);
            await injectProbation(harness, fault);
            fault.isActive = true;
            const onProbationFrom = harness.events.findIndex(event => event.includes("worker-probation"));
            await harness.clock.runFor(MAX_WAIT_MS);
            const later = harness.events.slice(onProbationFrom + 1);
            const orders = later.filter(event => event.includes("run-order"));
            const probations = later.filter(event => event.includes("worker-probation"));
            expect(orders.length).toBeGreaterThan(0);
            expect(orders.length - probations.length).toBeLessThanOrEqual(1);
        });
    });
});
