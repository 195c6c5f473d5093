import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import type { StepRun } from "@sardinestage/track-jobs";
import { Job, openOccurrence } from "@sardinestage/track-jobs";
import { createQueue } from "../testing/createQueue.js";
import { UnusedTaskLimiter } from "./unusedTaskLimiter.js";

const TASKS_EACH = 100;

/** Creates steps, each of a job of its own, with all tasks listed as a round does. */
function listSteps(count: number): readonly StepRun[] {
    return Array.from({ length: count }, (_unused, number) => {
        const steps = [createStep({ taskCount: TASKS_EACH })];
        const job = new Job(
            `job${number}`,
            { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 },
            createQueue(),
            0,
        );
        openOccurrence(job, 0);
        const step = [...job.openOccurrences.values()][0].getStep(0);
        step.listWaiting(TASKS_EACH);
        return step;
    });
}

function countKept(steps: readonly StepRun[]): number {
    return steps.reduce((sum, step) => sum + step.knownWaitingCount, 0);
}

describe("UnusedTaskLimiter", () => {
    // Guards against rounds that create all waiting tasks anew: on an overloaded day, 6,900 tasks wait and each round lists them.
    it("keeps the tasks that each round lists", () => {
        const limiter = new UnusedTaskLimiter();
        const steps = listSteps(70);
        limiter.noteListed(steps);
        limiter.noteListed(steps);
        expect(countKept(steps)).toBe(70 * TASKS_EACH);
    });

    it("releases tasks that the latest round hasn't listed once there are too many", () => {
        const limiter = new UnusedTaskLimiter();
        const [earlier, later] = [listSteps(30), listSteps(30)];
        limiter.noteListed(earlier);
        expect(countKept(earlier)).toBe(30 * TASKS_EACH);
        limiter.noteListed(later);
        expect(countKept(earlier)).toBe(0);
        expect(countKept(later)).toBe(30 * TASKS_EACH);
    });

    it("releases also listed tasks if these alone are far too many", () => {
        const limiter = new UnusedTaskLimiter();
        const steps = listSteps(210);
        limiter.noteListed(steps);
        expect(countKept(steps)).toBe(0);
    });
});
