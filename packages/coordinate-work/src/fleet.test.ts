import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorBed } from "./testing/coordinatorBed.js";
import { createQueue } from "./testing/createQueue.js";

const ALWAYS = () => 0.5;
/** The loss of a coordinator is noticed after 1 s; its check, the candidacy and the wait in turn take another 1.5 s. */
const SUCCEEDED_AFTER_MS = 2500;
/** A lost task has to run again within 3 s, counted from 6 s after its last run was active (requirement LOST). */
const AWAY_MS = 9000;

describe("Fleet", () => {
    describe("when a worker and the coordinator fail at the same moment", () => {
        it("runs the worker's long-running tasks elsewhere in time", async () => {
            const bed = new CoordinatorBed(ALWAYS, () => 120_000);
            void bed.addWorker("lost");
            await bed.clock.runFor(20);
            bed.startTerm(false);
            const steps = [createStep({ taskCount: 8, longRunning: true })];
            const spec: JobSpec = { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
            void bed.submit("lasting", spec, createQueue());
            await bed.clock.runFor(1000);
            void bed.addWorker("other");
            await bed.clock.runFor(1000);
            expect(bed.witness.countAtWork()).toBe(8);
            bed.coordinator?.close();
            bed.stopWorker("lost");
            await bed.clock.runFor(SUCCEEDED_AFTER_MS);
            bed.startTerm(false);
            await bed.clock.runFor(AWAY_MS - SUCCEEDED_AFTER_MS);
            expect(bed.witness.faults).toEqual([]);
            expect(bed.witness.countAtWork()).toBe(8);
        });
    });
});
