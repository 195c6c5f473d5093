import { describe, expect, it } from "@jest/globals";
import { Topic } from "@sardinestage/describe-ports";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FIXED_RANDOM = () => 0.5;

function createSpec(steps = [createStep()]): JobSpec {
    return { payload: "payload", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

describe("Coordinator", () => {
    describe("when loading all jobs takes longer than a lease", () => {
        it("renews the leases meanwhile", async () => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, () => 60_000);
            ["w0", "w1", "w2", "w3"].forEach(id => void harness.addWorker(id));
            await harness.clock.runFor(20);
            harness.startTerm(false);
            void harness.submit(
                "lasting",
                createSpec([createStep({ taskCount: 32, longRunning: true })]),
                createQueue(),
            );
            await harness.clock.runFor(1000);
            expect(harness.runChecker.countActiveRuns()).toBe(32);
            const large = createSpec([createStep({ cpuMillis: 20_000 })]);
            for (let job = 0; job < 600; job++) {
                void harness.submit(`large${job}`, large, createQueue({ priority: 1 }));
            }
            await harness.clock.runFor(1000);
            harness.coordinator?.close();
            await harness.clock.runFor(1500);
            harness.store.faults.answerMs = 400;
            harness.startTerm(false);
            await harness.clock.runFor(8000);
            expect(harness.coordinator?.isReady).toBe(true);
            expect(harness.termCount).toBe(2);
            expect(harness.events.filter(event => event.includes("Lapsed"))).toEqual([]);
            expect(harness.runChecker.violations).toEqual([]);
            expect(harness.runChecker.countActiveRuns()).toBe(32);
        });
    });

    describe("when it takes over a large fleet and its thread is saturated by calls", () => {
        it("renews all leases before it applies the reports of the first workers", async () => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, () => 60_000);
            Array.from({ length: 342 }, (_unused, index) => void harness.addWorker(`w${index}`));
            await harness.clock.runFor(50);
            harness.startTerm(false);
            const longRunning = createSpec([createStep({ taskCount: 700, longRunning: true })]);
            void harness.submit("lasting", longRunning, createQueue());
            await harness.clock.runFor(4000);
            expect(harness.runChecker.countActiveRuns()).toBe(700);
            harness.coordinator?.close();
            // The time without a coordinator in the outage that this test reproduces.
            await harness.clock.runFor(1800);
            harness.callCostMs = 2;
            harness.startTerm(false);
            await harness.clock.runFor(4000);
            expect(harness.events.filter(event => event.includes("Lapsed"))).toEqual([]);
            expect(harness.runChecker.countActiveRuns()).toBe(700);
        });
    });

    describe("when an earlier coordinator may have left unrecorded runs and a worker is silent", () => {
        it("reports unrecorded starts until all workers have reported and their runs are recorded", async () => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, () => 60_000);
            void harness.addWorker("heard");
            void harness.addWorker("silent");
            await harness.clock.runFor(50);
            const silent = harness.fleet.workers.get("silent");
            Object.assign(silent ?? {}, { isUnreachable: true });
            harness.startTerm(true);
            expect(harness.coordinator?.hasUnrecordedStarts).toBe(true);
            await harness.clock.runFor(3000);
            expect(harness.coordinator?.hasUnrecordedStarts).toBe(true);
            Object.assign(silent ?? {}, { isUnreachable: false });
            await harness.clock.runFor(2000);
            expect(harness.coordinator?.hasUnrecordedStarts).toBe(false);
        });
    });

    describe("when the recorded progress of a job can't be read", () => {
        it("starts none of the job's tasks, which may have run, and serves the other jobs", async () => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, () => 300);
            void harness.addWorker("w");
            void harness.submit("unreadable", createSpec(), createQueue());
            void harness.submit("other", createSpec(), createQueue());
            void harness.appendUntilConfirmed(Topic.Progress, { key: "unreadable", value: Buffer.from([0xff, 0x00]) });
            await harness.clock.runFor(50);
            harness.startTerm(false);
            await harness.clock.runFor(3000);
            expect(harness.events.some(event => event.includes("job-unreadable"))).toBe(true);
            expect([...harness.runChecker.completedTasks].filter(key => key.startsWith("unreadable"))).toEqual([]);
            expect([...harness.runChecker.completedTasks].filter(key => key.startsWith("other"))).toHaveLength(1);
        });
    });
});
