import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import type { StepRun } from "@sardinestage/track-jobs";
import { Job, openDueOccurrences } from "@sardinestage/track-jobs";
import { createQueue } from "../testing/createQueue.js";
import { CapacityReservations } from "./capacityReservations.js";

function createStepRun(): StepRun {
    const steps = [createStep({ taskCount: 2 })];
    const job = new Job("job", { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 }, createQueue(), 1);
    openDueOccurrences(job, 1);
    return [...job.openOccurrences.values()][0].steps[0];
}

describe("CapacityReservations", () => {
    describe("when capacity is reserved for a step", () => {
        it("keeps a reservation until a task of the step has started on its worker", () => {
            const reservations = new CapacityReservations();
            const step = createStepRun();
            reservations.add(step, "a", 0);
            reservations.add(step, "b", 0);
            reservations.release(step.tasks[0], "a");
            expect(reservations.list(step, 1)).toEqual(["b"]);
        });

        it("keeps one reservation for each task on the same worker", () => {
            const reservations = new CapacityReservations();
            const step = createStepRun();
            reservations.add(step, "a", 0);
            reservations.add(step, "a", 0);
            reservations.release(step.tasks[0], "a");
            expect(reservations.list(step, 1)).toEqual(["a"]);
        });

        it("drops a reservation after 2 s", () => {
            const reservations = new CapacityReservations();
            const step = createStepRun();
            reservations.add(step, "a", 0);
            expect(reservations.list(step, 1999)).toEqual(["a"]);
            expect(reservations.list(step, 2000)).toEqual([]);
        });
    });
});
