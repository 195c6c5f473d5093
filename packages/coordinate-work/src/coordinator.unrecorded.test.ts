import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorBed } from "./testing/coordinatorBed.js";
import { createQueue } from "./testing/createQueue.js";

const ALWAYS = () => 0.5;

function createSpec(steps = [createStep()]): JobSpec {
    return { payload: "payload", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

describe("Coordinator after one that left unrecorded runs", () => {
    describe("when a task failed and was started again while the store was unavailable", () => {
        /**
         * Sets up a task whose first run is recorded and fails while the store is down; its second run is active when
         * the next term begins.
         */
        async function createOutage(secondMs: number) {
            const bed = new CoordinatorBed(ALWAYS, (_task, run) => run === 1 ? -1500 : run === 2 ? secondMs : 1500);
            void bed.addWorker("w0");
            void bed.addWorker("w1");
            await bed.clock.runFor(20);
            bed.startTerm(false);
            await bed.clock.runFor(500);
            void bed.submit("job", createSpec(), createQueue({ maxAttempts: 9 }));
            await bed.clock.runFor(200);
            bed.store.faults.isDown = true;
            const isRestarted = () => bed.events.filter(event => event.includes("run-order")).length === 2;
            while (!isRestarted() || bed.witness.countAtWork() === 0) {
                await bed.clock.runFor(10);
            }
            const orders = bed.events.filter(event => event.includes("run-order"));
            const findWorker = (run: number) => bed.fleet.workers.get(orders[run - 1].includes("\"w0\"") ? "w0" : "w1");
            const [first, second] = [findWorker(1), findWorker(2)];
            expect(first).not.toBe(second);
            bed.coordinator?.close();
            bed.store.faults.isDown = false;
            return { bed, first, second };
        }

        it("keeps the second run even if its worker reports before the worker of the first run", async () => {
            const { bed, first } = await createOutage(2000);
            if (first !== undefined) {
                first.isCut = true;
                bed.clock.schedule(700, () => first.isCut = false);
            }
            bed.startTerm(true);
            await bed.clock.runFor(9000);
            expect(bed.events.filter(event => event.includes("stray"))).toEqual([]);
            expect(bed.witness.faults).toEqual([]);
            expect(await bed.coordinator?.getState("job")).toBe(JobState.Completed);
        });

        it("doesn't count the third run as lost when the lease of the first run's worker expires", async () => {
            const { bed, first } = await createOutage(-600);
            await bed.clock.runFor(1000);
            bed.fleet.workers.delete(first?.id ?? "");
            void bed.removeWorker(first?.id ?? "");
            await bed.clock.runFor(100);
            bed.startTerm(true);
            await bed.clock.runFor(12_000);
            expect(bed.events.filter(event => event.includes("run-lost"))).toEqual([]);
            expect(bed.witness.faults).toEqual([]);
        });
    });

    describe("when runs may have been started unrecorded before a takeover", () => {
        it("reports unrecorded starts until all workers' runs are known and recorded", async () => {
            const bed = new CoordinatorBed(ALWAYS, () => 9000);
            void bed.addWorker("w0");
            void bed.addWorker("w1");
            await bed.clock.runFor(20);
            bed.startTerm(false);
            await bed.clock.runFor(500);
            expect(bed.coordinator?.hasUnrecordedStarts).toBe(false);
            void bed.submit("job", createSpec([createStep({ taskCount: 2 })]), createQueue());
            await bed.clock.runFor(200);
            bed.coordinator?.close();
            bed.startTerm(true);
            expect(bed.coordinator?.hasUnrecordedStarts).toBe(true);
            await bed.clock.runFor(1900);
            expect(bed.coordinator?.hasUnrecordedStarts).toBe(true);
            await bed.clock.runFor(600);
            expect(bed.coordinator?.hasUnrecordedStarts).toBe(false);
        });
    });
});
