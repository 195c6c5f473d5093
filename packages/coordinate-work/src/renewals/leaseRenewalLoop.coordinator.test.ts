import { describe, expect, it, jest } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FIXED_RANDOM = () => 0.5;

function createSpec(steps = [createStep()]): JobSpec {
    return { payload: "payload", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

describe("LeaseRenewalLoop of a coordinator", () => {
    describe("when a silent worker answers again shortly before its lease expires", () => {
        it("renews the lease before it applies the run ends reported by the worker", async () => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, task => task.jobId === "short" ? 3000 : 60_000);
            void harness.addWorker("w");
            await harness.clock.runFor(20);
            harness.startTerm(false);
            void harness.submit(
                "lasting",
                createSpec([createStep({ taskCount: 8, longRunning: true })]),
                createQueue(),
            );
            await harness.clock.runFor(3000);
            void harness.submit("short", createSpec([createStep()]), createQueue());
            await harness.clock.runFor(500);
            const renewals = jest.spyOn(harness.fleet, "renewLease");
            while (renewals.mock.calls.length === 0) {
                await harness.clock.runFor(1);
            }
            await harness.clock.runFor(10);
            const cutWorker = harness.fleet.workers.get("w");
            if (cutWorker !== undefined) {
                cutWorker.isUnreachable = true;
                // The last renewal was sent 10 ms ago, for 4.5 s. One that is sent to a cut-off worker fails after 0.6 s.
                await harness.clock.runFor(3900);
                cutWorker.isUnreachable = false;
            }
            harness.store.faults.answerMs = 600;
            await harness.clock.runFor(2000);
            expect(harness.events.filter(event => event.includes("Lapsed"))).toEqual([]);
            expect(harness.runChecker.countActiveRuns()).toBe(8);
        });
    });
});
