import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import type { StepRun } from "@sardinestage/track-jobs";
import { Job, openDueOccurrences } from "@sardinestage/track-jobs";
import { CapacityReservations } from "./capacityReservations.js";
import { createQueue } from "./testing/createQueue.js";

function createStepRun(): StepRun {
    const steps = [createStep({ taskCount: 2 })];
    const job = new Job("job", { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 }, createQueue(), 1);
    openDueOccurrences(job, 1);
    return [...job.open.values()][0].steps[0];
}

describe("PromisedRooms", () => {
    describe("when room is made for a step", () => {
        it("keeps it until a task of the step has started there", () => {
            const promises = new CapacityReservations();
            const step = createStepRun();
            promises.add(step, "a", 0);
            promises.add(step, "b", 0);
            promises.release(step.tasks[0], "a");
            expect(promises.list(step, 1)).toEqual(["b"]);
        });

        it("keeps it for as many tasks as it is made for on one worker", () => {
            const promises = new CapacityReservations();
            const step = createStepRun();
            promises.add(step, "a", 0);
            promises.add(step, "a", 0);
            promises.release(step.tasks[0], "a");
            expect(promises.list(step, 1)).toEqual(["a"]);
        });

        it("doesn't keep it for longer than stops take", () => {
            const promises = new CapacityReservations();
            const step = createStepRun();
            promises.add(step, "a", 0);
            expect(promises.list(step, 1999)).toEqual(["a"]);
            expect(promises.list(step, 2000)).toEqual([]);
        });
    });
});
