import { describe, expect, it, jest } from "@jest/globals";
import { ReadOutcome, waitFor } from "@sardinestage/describe-ports";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const QUEUE = createQueue();
const RUN_MS = 5000;

function createSpec(taskCount: number): JobSpec {
    const steps = [createStep({ taskCount })];
    return { payload: "payload", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

async function createHarness(): Promise<CoordinatorHarness> {
    const harness = new CoordinatorHarness(() => 0.5, () => RUN_MS);
    void harness.addWorker("w");
    await harness.clock.runFor(20);
    harness.startTerm(false);
    await harness.clock.runFor(500);
    return harness;
}

describe("countPending", () => {
    describe("when a job's first start was ordered and no worker has accepted it", () => {
        it("counts the job as pending", async () => {
            const harness = await createHarness();
            jest.spyOn(harness.fleet, "start").mockReturnValue(new Promise(() => undefined));
            void harness.submit("job", createSpec(2), QUEUE);
            await harness.clock.runFor(200);
            expect(harness.events.some(event => event.includes("run-order"))).toBe(true);
            expect(harness.coordinator?.getPending(QUEUE.name)).toBe(1);
        });

        it("still counts the job as pending after a takeover", async () => {
            const harness = await createHarness();
            const starts = jest.spyOn(harness.fleet, "start").mockReturnValue(new Promise(() => undefined));
            void harness.submit("job", createSpec(1), QUEUE);
            await harness.clock.runFor(200);
            harness.startTerm(false);
            await harness.clock.runFor(300);
            expect(starts).toHaveBeenCalled();
            expect(harness.coordinator?.getPending(QUEUE.name)).toBe(1);
        });
    });

    describe("when a worker has accepted a run", () => {
        it("doesn't count the job, neither before nor after the run is first reported", async () => {
            const harness = await createHarness();
            void harness.submit("job", createSpec(1), QUEUE);
            await harness.clock.runFor(100);
            expect(harness.coordinator?.getPending(QUEUE.name)).toBe(0);
            await harness.clock.runFor(RUN_MS / 2);
            expect(harness.coordinator?.getPending(QUEUE.name)).toBe(0);
        });

        it("doesn't count the job after a takeover either", async () => {
            const harness = await createHarness();
            void harness.submit("job", createSpec(1), QUEUE);
            await harness.clock.runFor(1500);
            harness.startTerm(false);
            await harness.clock.runFor(300);
            expect(harness.coordinator?.getPending(QUEUE.name)).toBe(0);
        });

        it("doesn't count a job that has ended", async () => {
            const harness = await createHarness();
            void harness.submit("job", createSpec(1), QUEUE);
            await harness.clock.runFor(RUN_MS * 2);
            expect(harness.coordinator?.getPending(QUEUE.name)).toBe(0);
        });
    });

    describe("when the accepted jobs can't be read, although records can be written", () => {
        it("gives no count that would miss new jobs, but gives one once the jobs can be read again", async () => {
            const harness = await createHarness();
            const outcome = ReadOutcome.Failed;
            const reads = jest.spyOn(harness.store, "read").mockImplementation(async (_, from) => {
                await waitFor(harness.clock, 1000);
                return { outcome, records: [], next: from };
            });
            await harness.clock.runFor(2500);
            harness.stopWorker("w");
            void harness.submit("job", createSpec(1), QUEUE);
            // An entry VM may repeat a count for two more seconds, and callers rely on a count to include all jobs
            // accepted five seconds ago.
            await harness.clock.runFor(3000);
            expect(harness.coordinator?.getPending(QUEUE.name)).toBeUndefined();
            reads.mockRestore();
            await harness.clock.runFor(2500);
            expect(harness.coordinator?.getPending(QUEUE.name)).toBe(1);
        });

        it("gives counts at any time while no new job is accepted", async () => {
            const harness = await createHarness();
            for (let passedMs = 0; passedMs < 10_000; passedMs += 100) {
                await harness.clock.runFor(100);
                expect(harness.coordinator?.getPending(QUEUE.name)).toBe(0);
            }
        });
    });
});
