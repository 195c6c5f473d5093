import { describe, expect, it } from "@jest/globals";
import type { StepSpec } from "@sardinestage/describe-work";
import { planStarts } from "./planStarts.js";
import type { StepDemand } from "./stepDemand.js";
import { planFixture } from "./testing/planFixture.js";
import type { WorkerCapacity } from "./workerCapacity.js";

const { createDemand, createWorker, rules } = planFixture;
const SLOWNESS = 1.5;
const speedRules = {
    ...rules,
    speeds: {
        worstSlowness: SLOWNESS,
        uneven: new Map([
            ["slow", { slowness: SLOWNESS, isCold: false }],
            ["cold", { slowness: 1, isCold: true }],
        ]),
    },
};
/** More than twice the slowness of the slowest worker, so that the job meets its target there in spite of wrong estimates. */
const ENOUGH_SLACK = 3.1;
const LITTLE_SLACK = 2.9;

/** Plans a step; returns where its tasks start, in the order of the starts. */
function planOn(
    workers: readonly WorkerCapacity[],
    spec: Partial<StepSpec>,
    changes: Partial<StepDemand> = { maxSlowness: LITTLE_SLACK },
): readonly string[] {
    return planStarts([createDemand(spec, changes)], workers, speedRules).starts.map(({ workerId }) => workerId);
}

/** A fast worker with room for two tasks of a core, beside a worker that is empty. */
function createPair(otherId: string, changes: Partial<WorkerCapacity> = {}): readonly WorkerCapacity[] {
    return [createWorker(otherId), createWorker("fast", { freeCpuMillis: 2000, ...changes })];
}

describe("A task with little slack", () => {
    // Guards against jobs that miss their target on a slow worker while another one has room.
    it.each(["slow", "cold"])("takes a worker that isn't %s while one has room, and then that worker", otherId => {
        expect(planOn(createPair(otherId), { taskCount: 3 })).toEqual(["fast", "fast", otherId]);
    });

    it("prefers a worker that isn't cold to one that is, and a slow one to one that is slow and cold", () => {
        const uneven = new Map([["slow", { slowness: 2, isCold: false }], ["both", { slowness: 2, isCold: true }]]);
        const { starts } = planStarts(
            [createDemand({}, { maxSlowness: LITTLE_SLACK })],
            [createWorker("both"), createWorker("slow", { freeCpuMillis: 1000 })],
            { ...rules, speeds: { worstSlowness: 2, uneven } },
        );
        expect(starts.map(({ workerId }) => workerId)).toEqual(["slow"]);
    });

    // Guards against work that takes what other tasks wait for, only because that is faster.
    it("takes a slow worker rather than a reserved one", () => {
        expect(planOn(createPair("slow", { isReserved: true }), {})).toEqual(["slow"]);
    });

    // Guards against best-effort tasks that crowd on few workers, as they find room anywhere.
    it("takes a slow worker if it is a best-effort task and others are crowded", () => {
        const crowd = [16_000, 4000].map(bestEffortCpuMillis =>
            planOn(createPair("slow", { freeCpuMillis: 16_000, bestEffortCpuMillis }), { isBestEffort: true })
        );
        expect(crowd).toEqual([["slow"], ["fast"]]);
    });
});

describe("Workers count as equally fast", () => {
    it.each<[string, Partial<StepSpec>, Partial<StepDemand>]>([
        ["a job has enough slack on the slowest one", {}, { maxSlowness: ENOUGH_SLACK }],
        ["a job's result is no longer useful", {}, { maxSlowness: LITTLE_SLACK, lateSlackMs: -1 }],
        ["a task has no end", { longRunning: true }, { maxSlowness: LITTLE_SLACK }],
        ["nothing is known of a job's slack", {}, {}],
    ])("if %s", (_when, spec, changes) => {
        expect(planOn(createPair("slow"), spec, changes)).toEqual(["slow"]);
    });
});
