import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FAULT_MS = 20_000;

function createSpec(taskCount: number): JobSpec {
    return { payload: "", steps: [createStep({ taskCount })], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

// Guards against a trial that ends although nothing has succeeded: each failed run counts against its job's attempts.
describe("A worker that fails all runs, but only some time after their start", () => {
    it.each([100, 900, 1500, 2500])(
        "gets one task at a time after a probation, with runs that fail after %d ms",
        async failingMs => {
            const harness = new CoordinatorHarness(() => 0.5, () => -failingMs);
            void harness.addWorker("w");
            await harness.clock.runFor(50);
            harness.startTerm(false);
            await harness.clock.runFor(500);
            void harness.submit("failing1", createSpec(6), createQueue({ maxAttempts: 100 }));
            void harness.submit("failing2", createSpec(6), createQueue({ maxAttempts: 100 }));
            while (!harness.events.some(event => event.includes("worker-probation"))) {
                await harness.clock.runFor(10);
            }
            const from = harness.events.length;
            await harness.clock.runFor(FAULT_MS);
            const later = harness.events.slice(from);
            const orders = later.filter(event => event.includes(" run-order ")).length;
            const probations = later.filter(event => event.includes("worker-probation")).length;
            expect({ orders, isOneAtATime: orders - probations <= 1 }).toEqual({ orders, isOneAtATime: true });
        },
    );
});
