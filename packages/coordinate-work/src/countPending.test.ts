import { describe, expect, it, jest } from "@jest/globals";
import { ReadOutcome, waitFor } from "@sardinestage/describe-ports";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorBed } from "./testing/coordinatorBed.js";
import { createQueue } from "./testing/createQueue.js";

const QUEUE = createQueue();
const RUN_MS = 5000;

function createSpec(taskCount: number): JobSpec {
    const steps = [createStep({ taskCount })];
    return { payload: "payload", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

async function createBed(): Promise<CoordinatorBed> {
    const bed = new CoordinatorBed(() => 0.5, () => RUN_MS);
    void bed.addWorker("w");
    await bed.clock.runFor(20);
    bed.startTerm(false);
    await bed.clock.runFor(500);
    return bed;
}

describe("countPending", () => {
    describe("when a job's first start was ordered and no worker has accepted it", () => {
        it("counts the job as pending", async () => {
            const bed = await createBed();
            jest.spyOn(bed.fleet, "start").mockReturnValue(new Promise(() => undefined));
            void bed.submit("job", createSpec(2), QUEUE);
            await bed.clock.runFor(200);
            expect(bed.events.some(event => event.includes("run-order"))).toBe(true);
            expect(bed.coordinator?.getPending(QUEUE.name)).toBe(1);
        });

        it("still counts the job as pending after a takeover", async () => {
            const bed = await createBed();
            const starting = jest.spyOn(bed.fleet, "start").mockReturnValue(new Promise(() => undefined));
            void bed.submit("job", createSpec(1), QUEUE);
            await bed.clock.runFor(200);
            bed.startTerm(false);
            await bed.clock.runFor(300);
            expect(starting).toHaveBeenCalled();
            expect(bed.coordinator?.getPending(QUEUE.name)).toBe(1);
        });
    });

    describe("when a worker has accepted a run", () => {
        it("doesn't count the job, neither before nor after the run is first reported", async () => {
            const bed = await createBed();
            void bed.submit("job", createSpec(1), QUEUE);
            await bed.clock.runFor(100);
            expect(bed.coordinator?.getPending(QUEUE.name)).toBe(0);
            await bed.clock.runFor(RUN_MS / 2);
            expect(bed.coordinator?.getPending(QUEUE.name)).toBe(0);
        });

        it("doesn't count the job after a takeover either", async () => {
            const bed = await createBed();
            void bed.submit("job", createSpec(1), QUEUE);
            await bed.clock.runFor(1500);
            bed.startTerm(false);
            await bed.clock.runFor(300);
            expect(bed.coordinator?.getPending(QUEUE.name)).toBe(0);
        });

        it("doesn't count a job that has ended", async () => {
            const bed = await createBed();
            void bed.submit("job", createSpec(1), QUEUE);
            await bed.clock.runFor(RUN_MS * 2);
            expect(bed.coordinator?.getPending(QUEUE.name)).toBe(0);
        });
    });

    describe("when the accepted jobs can't be read, although records can be written", () => {
        it("gives no count that would miss new jobs, but gives one once the jobs can be read again", async () => {
            const bed = await createBed();
            const outcome = ReadOutcome.Failed;
            const reading = jest.spyOn(bed.store, "read").mockImplementation(async (_, from) => {
                await waitFor(bed.clock, 1000);
                return { outcome, records: [], next: from };
            });
            await bed.clock.runFor(2500);
            bed.stopWorker("w");
            void bed.submit("job", createSpec(1), QUEUE);
            // An entry VM may repeat a count for two more seconds, and callers rely on a count to include all jobs
            // accepted five seconds ago.
            await bed.clock.runFor(3000);
            expect(bed.coordinator?.getPending(QUEUE.name)).toBeUndefined();
            reading.mockRestore();
            await bed.clock.runFor(2500);
            expect(bed.coordinator?.getPending(QUEUE.name)).toBe(1);
        });

        it("gives counts at any time while no new job is accepted", async () => {
            const bed = await createBed();
            for (let passedMs = 0; passedMs < 10_000; passedMs += 100) {
                await bed.clock.runFor(100);
                expect(bed.coordinator?.getPending(QUEUE.name)).toBe(0);
            }
        });
    });
});
