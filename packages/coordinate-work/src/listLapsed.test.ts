import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorBed } from "./testing/coordinatorBed.js";
import { createQueue } from "./testing/createQueue.js";

const ALWAYS = () => 0.5;
const RUN_MS = 3000;

function createSpec(longRunning: boolean): JobSpec {
    return { payload: "", steps: [createStep({ longRunning })], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

/** Creates a worker that runs a task and is then cut off from the coordinator, and a second worker. */
async function createCut(longRunning: boolean): Promise<CoordinatorBed> {
    const bed = new CoordinatorBed(ALWAYS, () => longRunning ? 120_000 : RUN_MS);
    void bed.addWorker("cut");
    await bed.clock.runFor(20);
    bed.startTerm(false);
    void bed.submit("job", createSpec(longRunning), createQueue());
    await bed.clock.runFor(1000);
    expect(bed.witness.countAtWork()).toBe(1);
    Object.assign(bed.fleet.workers.get("cut") ?? {}, { isCut: true });
    void bed.addWorker("other");
    return bed;
}

function countOrders(bed: CoordinatorBed): number {
    return bed.events.filter(event => event.includes("run-order")).length;
}

describe("listExpiredTasks", () => {
    describe("when a run has succeeded on a worker that is listed but silent beyond its lease", () => {
        it("doesn't start the task again, since its end is only unreported", async () => {
            const bed = await createCut(false);
            await bed.clock.runFor(8000);
            expect([...bed.witness.done]).toEqual(["job/0/0/0"]);
            Object.assign(bed.fleet.workers.get("cut") ?? {}, { isCut: false });
            await bed.clock.runFor(2000);
            expect(countOrders(bed)).toBe(1);
            expect(await bed.coordinator?.getState("job")).toBe(JobState.Completed);
        });

        it("starts the task elsewhere once the worker is no longer listed", async () => {
            const bed = await createCut(false);
            void bed.removeWorker("cut");
            await bed.clock.runFor(6000);
            expect(countOrders(bed)).toBe(2);
        });

        it("starts the task elsewhere if the worker stays silent", async () => {
            const bed = await createCut(false);
            await bed.clock.runFor(12_000);
            expect(countOrders(bed)).toBe(2);
        });
    });

    describe("when a long-running task was active on the silent worker", () => {
        it("starts the task elsewhere as soon as the lease has expired", async () => {
            const bed = await createCut(true);
            await bed.clock.runFor(5500);
            expect(countOrders(bed)).toBe(2);
            expect(bed.witness.countAtWork()).toBe(1);
        });
    });
});
