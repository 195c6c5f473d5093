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
    describe("when a job's first task was ordered and no worker has taken it", () => {
        it("counts the job as one that waits", async () => {
            const bed = await createBed();
            jest.spyOn(bed.fleet, "start").mockReturnValue(new Promise(() => undefined));
            void bed.submit("job", createSpec(2), QUEUE);
            await bed.clock.runFor(200);
            expect(bed.events.some(event => event.includes("run-order"))).toBe(true);
            expect(bed.coordinator?.getPending(QUEUE.name)).toBe(1);
        });

        it("still does after a takeover", async () => {
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

    describe("when a worker has taken a task", () => {
        it("doesn't count the job, before the run is listed as well as after", async () => {
            const bed = await createBed();
            void bed.submit("job", createSpec(1), QUEUE);
            await bed.clock.runFor(100);
            expect(bed.coordinator?.getPending(QUEUE.name)).toBe(0);
            await bed.clock.runFor(RUN_MS / 2);
            expect(bed.coordinator?.getPending(QUEUE.name)).toBe(0);
        });

        it("doesn't count it under the next coordinator either", async () => {
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

    describe("when the accepted jobs can't be read, though records can be written", () => {
        it("tells no count that leaves out what was accepted meanwhile, and one as soon as they can be read again", async () => {
            const bed = await createBed();
            const outcome = ReadOutcome.Failed;
            const reading = jest.spyOn(bed.store, "read").mockImplementation(async (_, from) => {
                await waitFor(bed.clock, 1000);
                return { outcome, records: [], next: from };
            });
            await bed.clock.runFor(2500);
            bed.stopWorker("w");
            void bed.submit("job", createSpec(1), QUEUE);
            // A count may be told for two more seconds by an entry VM; callers count on what was accepted five seconds ago.
            await bed.clock.runFor(3000);
            expect(bed.coordinator?.getPending(QUEUE.name)).toBeUndefined();
            reading.mockRestore();
            await bed.clock.runFor(2500);
            expect(bed.coordinator?.getPending(QUEUE.name)).toBe(1);
        });

        it("tells counts all the while that nothing new is accepted", async () => {
            const bed = await createBed();
            for (let passedMs = 0; passedMs < 10_000; passedMs += 100) {
                await bed.clock.runFor(100);
                expect(bed.coordinator?.getPending(QUEUE.name)).toBe(0);
            }
        });
    });
});
