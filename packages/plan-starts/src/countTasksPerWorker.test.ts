import { describe, expect, it } from "@jest/globals";
import { RunEnd } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { applyRunEnd, applyRunLost, applyRunStart, createCopy, createRemainder } from "@sardinestage/track-jobs";
import { countTasksPerWorker } from "./countTasksPerWorker.js";
import { planFixture } from "./testing/planFixture.js";

const NOW_MS = 1000;

function createStepRun() {
    return planFixture.createDemand(createStep({ taskCount: 2, maxTasksPerWorker: 1, speculative: true })).step;
}

// Guards against a start beside another run of the step on a worker that may have only one.
describe("countTasksPerWorker", () => {
    it("counts a task and its copy", () => {
        const step = createStepRun();
        const task = step.getTask(0);
        applyRunStart(task, "own", 1, NOW_MS);
        applyRunStart(createCopy(task), "copy", 2, NOW_MS);
        expect([...countTasksPerWorker(step)]).toEqual([["own", 1], ["copy", 1]]);
    });

    it("counts a run that a copy has outrun until it is gone", () => {
        const step = createStepRun();
        const task = step.getTask(0);
        applyRunStart(task, "own", 1, NOW_MS);
        const copy = createCopy(task);
        applyRunStart(copy, "copy", 2, NOW_MS);
        const remainder = createRemainder(task);
        applyRunEnd(task, { run: 2, end: RunEnd.Done, checkpoint: "", isCopy: true }, NOW_MS);
        applyRunLost(copy);
        expect([...countTasksPerWorker(step)]).toEqual([["own", 1]]);
        applyRunLost(remainder);
        expect([...countTasksPerWorker(step)]).toEqual([]);
    });
});
