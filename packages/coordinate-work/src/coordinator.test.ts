import { describe, expect, it, jest } from "@jest/globals";
import { Topic } from "@sardinestage/describe-ports";
import type { JobSpec } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { LearnedEstimates } from "./records/learnedEstimates.js";
import { CoordinatorHarness } from "./testing/coordinatorHarness.js";
import { createQueue } from "./testing/createQueue.js";

const FIXED_RANDOM = () => 0.5;
/**
 * Longest time from the expiry of a lease to the next start of what ran under it, in milliseconds: a renewal that is
 * repeated 1.75 s after a lost one counts as received, clocks differ by 2.5 %, ends may be unreported for 6 s, and
 * rounds come every 0.25 s.
 */
const RESTART_AFTER_EXPIRY_MS = 8200;

function createSpec(steps = [createStep()]): JobSpec {
    return { payload: "payload", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

async function createHarness(workers: number, durationMs: number): Promise<CoordinatorHarness> {
    const harness = new CoordinatorHarness(FIXED_RANDOM, () => durationMs);
    const adding = Array.from({ length: workers }, (_unused, index) => harness.addWorker(`w${index}`));
    await harness.clock.runFor(20);
    await Promise.all(adding);
    return harness;
}

describe("Coordinator", () => {
    describe("when it takes over a large fleet", () => {
        it("spreads the first lease renewals over time, so that other renewals aren't delayed", async () => {
            const harness = await createHarness(100, 500);
            const renewals = jest.spyOn(harness.fleet, "renewLease");
            harness.startTerm(false);
            await harness.clock.runFor(1);
            let before = 0;
            let most = 0;
            for (let step = 0; step < 200; step++) {
                await harness.clock.runFor(1);
                const first = new Set(renewals.mock.calls.map(([worker]) => worker.id)).size;
                most = Math.max(most, first - before);
                before = first;
            }
            expect(before).toBe(100);
            expect(most).toBeLessThanOrEqual(20);
        });
    });

    describe("when it takes over with more waiting work than it can order at once", () => {
        it("lets no lease expire because start orders delay its renewal", async () => {
            const harness = await createHarness(200, 60_000);
            harness.startTerm(false);
            void harness.submit(
                "lasting",
                createSpec([createStep({ taskCount: 400, longRunning: true })]),
                createQueue(),
            );
            await harness.clock.runFor(3000);
            expect(harness.runChecker.countActiveRuns()).toBe(400);
            harness.coordinator?.close();
            const waiting = createStep({ taskCount: 40, cpuMillis: 400 });
            for (let job = 0; job < 40; job++) {
                void harness.submit(`waiting${job}`, createSpec([waiting]), createQueue());
            }
            await harness.clock.runFor(2000);
            harness.callCostMs = 2;
            harness.startTerm(false);
            await harness.clock.runFor(6000);
            expect(harness.events.filter(event => event.includes("Lapsed"))).toEqual([]);
            expect(harness.runChecker.countActiveRuns()).toBeGreaterThan(400);
        });
    });

    describe("when it takes over while the store is slow", () => {
        it("gives a slow store enough time to answer its first append", async () => {
            const harness = await createHarness(2, 500);
            harness.store.faults.answerMs = 200;
            harness.startTerm(false);
            await harness.clock.runFor(1500);
            expect(harness.coordinator?.isReady).toBe(true);
            expect(harness.termCount).toBe(1);
        });
    });

    describe("when nothing is wrong", () => {
        it("runs the steps of a job in order and completes it", async () => {
            const harness = await createHarness(2, 500);
            harness.startTerm(false);
            const steps = [createStep({ taskCount: 3 }), createStep({ taskCount: 2, dependsOn: [0] })];
            void harness.submit("job", createSpec(steps), createQueue());
            await harness.clock.runFor(1800);
            expect(harness.runChecker.violations).toEqual([]);
            expect(harness.runChecker.completedTasks.size).toBe(5);
            expect(await harness.coordinator?.getState("job")).toBe(JobState.Completed);
        });

        it("starts the next step within 60 ms of the end of the one before", async () => {
            const harness = await createHarness(1, 500);
            harness.startTerm(false);
            await harness.clock.runFor(500);
            const steps = [createStep(), createStep({ dependsOn: [0] })];
            void harness.submit("job", createSpec(steps), createQueue());
            await harness.clock.runFor(1160);
            expect(harness.runChecker.completedTasks.size).toBe(2);
        });

        it("fails a job once one of its tasks has failed as often as its queue allows", async () => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, () => -200);
            void harness.addWorker("w");
            await harness.clock.runFor(20);
            harness.startTerm(false);
            void harness.submit("job", createSpec(), createQueue({ maxAttempts: 2 }));
            await harness.clock.runFor(5000);
            expect(await harness.coordinator?.getState("job")).toBe(JobState.Failed);
        });

        it("stops the runs of a cancelled job", async () => {
            const harness = await createHarness(1, 60_000);
            harness.startTerm(false);
            void harness.submit("job", createSpec([createStep({ taskCount: 4 })]), createQueue());
            await harness.clock.runFor(1000);
            expect(harness.runChecker.countActiveRuns()).toBe(4);
            void harness.cancel("job");
            await harness.clock.runFor(1000);
            expect(harness.runChecker.countActiveRuns()).toBe(0);
        });
    });

    describe("when the coordinator is killed", () => {
        it("the next one keeps the active runs and starts no task twice", async () => {
            const harness = await createHarness(2, 2000);
            harness.startTerm(false);
            void harness.submit("job", createSpec([createStep({ taskCount: 6 })]), createQueue());
            await harness.clock.runFor(700);
            harness.coordinator?.close();
            await harness.clock.runFor(1500);
            harness.startTerm(false);
            await harness.clock.runFor(1500);
            expect(harness.runChecker.violations).toEqual([]);
            expect(harness.runChecker.completedTasks.size).toBe(6);
            expect(await harness.coordinator?.getState("job")).toBe(JobState.Completed);
        });

        it("fences off the old one once the new one has begun", async () => {
            const harness = await createHarness(2, 500);
            harness.startTerm(false);
            await harness.clock.runFor(500);
            harness.startTerm(false);
            await harness.clock.runFor(2500);
            expect(harness.lostTermReasons.length).toBeGreaterThan(0);
        });
    });

    describe("when an earlier coordinator has learned estimates", () => {
        it("finds the estimates in the store", async () => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, task => 300 * (task.index + 1));
            void harness.addWorker("w");
            await harness.clock.runFor(20);
            harness.startTerm(false);
            void harness.submit("job", createSpec([createStep({ taskCount: 2 })]), createQueue());
            await harness.clock.runFor(7000);
            const page = await harness.readNewest(Topic.Progress);
            const record = page.find(({ key }) => key === LearnedEstimates.KEY);
            const next = new LearnedEstimates();
            next.restoreState(record?.value ?? new Uint8Array());
            const spec = createStep();
            expect(next.durations.estimateDuration("queue", spec)).toBeLessThan(spec.estimateMs);
        });

        it("takes over even if the record of the estimates can't be read", async () => {
            const harness = await createHarness(1, 300);
            void harness.appendUntilConfirmed(Topic.Progress, {
                key: LearnedEstimates.KEY,
                value: Buffer.from([0xff, 0x00]),
            });
            await harness.clock.runFor(20);
            harness.startTerm(false);
            void harness.submit("job", createSpec(), createQueue());
            await harness.clock.runFor(2000);
            expect(harness.events.filter(event => event.includes("learned-unreadable")).length).toBe(1);
            expect(await harness.coordinator?.getState("job")).toBe(JobState.Completed);
        });
    });

    describe("when the coordinator is killed between a recorded end and its acknowledgement", () => {
        it("counts the failed run once", async () => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, (_task, run) => run === 1 ? -300 : 60_000);
            void harness.addWorker("w");
            await harness.clock.runFor(20);
            harness.startTerm(false);
            await harness.clock.runFor(500);
            void harness.submit("job", createSpec(), createQueue({ maxAttempts: 2 }));
            const isRecorded = () => harness.events.some(event => event.includes("run-end"));
            while (!isRecorded()) {
                await harness.clock.runFor(1);
            }
            const worker = harness.fleet.workers.get("w");
            if (worker !== undefined) {
                worker.isUnreachable = true;
                await harness.clock.runFor(20);
                worker.isUnreachable = false;
            }
            harness.coordinator?.close();
            harness.startTerm(false);
            await harness.clock.runFor(3000);
            expect(harness.events.filter(event => event.includes("run-end")).length).toBe(2);
            expect(await harness.coordinator?.getState("job")).toBe(JobState.Running);
        });
    });

    describe("when the store was unavailable for so long that work continued unrecorded", () => {
        it("waits for workers missing from the list before it starts anything", async () => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, task => task.step === 0 ? 500 : 1500);
            void harness.addWorker("w0");
            void harness.addWorker("w1");
            await harness.clock.runFor(20);
            harness.startTerm(false);
            await harness.clock.runFor(500);
            const steps = [createStep(), createStep({ taskCount: 8, dependsOn: [0] })];
            void harness.submit("job", createSpec(steps), createQueue());
            await harness.clock.runFor(300);
            harness.store.faults.isDown = true;
            await harness.clock.runFor(5800);
            expect(harness.runChecker.countActiveRuns()).toBe(8);
            harness.coordinator?.close();
            harness.store.faults.isDown = false;
            void harness.withdrawEntry("w1");
            harness.clock.schedule(1800, () => void harness.publishEntry("w1"));
            await harness.clock.runFor(100);
            harness.startTerm(true);
            await harness.clock.runFor(8000);
            expect(harness.runChecker.violations).toEqual([]);
            expect(await harness.coordinator?.getState("job")).toBe(JobState.Completed);
        });
    });

    describe("when an unrecorded run has ended before a takeover", () => {
        it("applies the end and doesn't start the task again", async () => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, task => task.jobId === "first" ? 1000 : 600);
            void harness.addWorker("w0");
            await harness.clock.runFor(20);
            harness.startTerm(false);
            await harness.clock.runFor(500);
            const wide = createStep({ taskCount: 16 });
            void harness.submit("first", createSpec([wide]), createQueue());
            void harness.submit("second", createSpec(), createQueue({ priority: 1 }));
            await harness.clock.runFor(300);
            harness.store.faults.isDown = true;
            const isStarted = () => harness.runChecker.countActiveRuns() === 1;
            while (!isStarted()) {
                await harness.clock.runFor(10);
            }
            await harness.clock.runFor(800);
            expect(harness.runChecker.completedTasks.size).toBe(17);
            harness.coordinator?.close();
            harness.store.faults.isDown = false;
            harness.startTerm(true);
            await harness.clock.runFor(8000);
            expect(harness.runChecker.violations).toEqual([]);
            expect(await harness.coordinator?.getState("second")).toBe(JobState.Completed);
        });
    });

    describe("when a worker is lost while best-effort tasks occupy the memory of the others", () => {
        it("runs all its long-running tasks again within 3 s of the expiry of its lease", async () => {
            const harness = await createHarness(1, 120_000);
            harness.startTerm(false);
            const bestEffort = createStep({ taskCount: 64, isBestEffort: true, savesProgress: true });
            void harness.submit("filling", createSpec([bestEffort]), createQueue({ priority: 2 }));
            await harness.clock.runFor(2000);
            expect(harness.runChecker.countActiveRuns()).toBe(64);
            void harness.addWorker("lost");
            await harness.clock.runFor(1000);
            const longRunning = createStep({ taskCount: 8, longRunning: true, memoryMb: 8000 });
            void harness.submit("lasting", createSpec([longRunning]), createQueue());
            await harness.clock.runFor(4000);
            expect(harness.runChecker.countActiveRuns()).toBe(72);
            harness.stopWorker("lost");
            // The length of the lease on a clock that may be slow, and the time that its last renewal was under way.
            await harness.clock.runFor(4700);
            await harness.clock.runFor(3000);
            expect(harness.runChecker.violations).toEqual([]);
            expect(harness.runChecker.countActiveRuns()).toBe(8);
        });
    });

    describe("when a worker is cut off", () => {
        it("starts its tasks elsewhere only after its lease has expired", async () => {
            const harness = await createHarness(1, 20_000);
            harness.startTerm(false);
            void harness.submit("job", createSpec(), createQueue());
            await harness.clock.runFor(500);
            const cutWorker = harness.fleet.workers.get("w0");
            if (cutWorker !== undefined) {
                cutWorker.isUnreachable = true;
            }
            void harness.addWorker("w1");
            while (cutWorker !== undefined && cutWorker.countRuns() > 0) {
                expect(harness.runChecker.countActiveRuns()).toBe(1);
                await harness.clock.runFor(10);
            }
            await harness.clock.runFor(RESTART_AFTER_EXPIRY_MS);
            expect(harness.runChecker.violations).toEqual([]);
            expect(harness.runChecker.countActiveRuns()).toBe(1);
        });
    });

    describe("when start orders get no answer and are executed late", () => {
        it("stops these runs before it starts their tasks again", async () => {
            const harness = await createHarness(3, 400);
            harness.startTerm(false);
            await harness.clock.runFor(500);
            harness.fleet.faults.delayedShare = 0.6;
            harness.fleet.faults.maxDelayMs = 3000;
            void harness.submit("job", createSpec([createStep({ taskCount: 10 })]), createQueue());
            await harness.clock.runFor(3000);
            harness.fleet.faults.delayedShare = 0;
            await harness.clock.runFor(12_000);
            expect(harness.runChecker.violations).toEqual([]);
            expect(await harness.coordinator?.getState("job")).toBe(JobState.Completed);
        });
    });
});
