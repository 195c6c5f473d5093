import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const COLD_MS = 5000;
const RUN_MS = 60_000;
/** A task of 2 cores: 8 of them fill a worker. */
const CPU_MILLIS = 2000;
const queue = createQueue({ stretch: 1.5, targetLatencyMs: 500 });

function createSpec(taskCount: number): JobSpec {
    const steps = [createStep({ taskCount, cpuMillis: CPU_MILLIS })];
    return { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

/** Starts a coordinator with a worker that is cold for some time and one that isn't. */
async function startHarness(prefersFastWorkers: boolean, coldMs = COLD_MS): Promise<CoordinatorHarness> {
    const harness = new CoordinatorHarness(createRandom(1), () => RUN_MS);
    harness.features = { ...noSchedulingFeatures, prefersFastWorkers };
    harness.workerTraits = { clockRate: 1, getDemand: undefined, coldMs };
    void harness.addWorker("cold");
    harness.workerTraits = undefined;
    void harness.addWorker("warm");
    await harness.clock.runFor(50);
    harness.startTerm(false);
    await harness.clock.runFor(500);
    return harness;
}

/** Submits a job; returns the workers on which its tasks start, in the order of the starts. */
async function listStarts(harness: CoordinatorHarness, taskCount: number): Promise<readonly string[]> {
    const before = harness.events.length;
    void harness.submit(`job${before}`, createSpec(taskCount), queue);
    await harness.clock.runFor(500);
    return harness.events.slice(before).flatMap(event => /run-order.*"worker":"(\w+)"/.exec(event)?.[1] ?? []);
}

describe("A worker that is cold", () => {
    describe("with the preference for fast workers on", () => {
        // Guards against jobs that miss their target on cold workers, and against cold workers that get no tasks at all.
        it("gets tasks with little slack only when no other worker has room", async () => {
            const harness = await startHarness(true);
            expect(await listStarts(harness, 10)).toEqual([...Array<string>(8).fill("warm"), "cold", "cold"]);
        });

        it("counts as any other once the time in its entry is over", async () => {
            const harness = await startHarness(true);
            await harness.clock.runFor(COLD_MS);
            expect(await listStarts(harness, 4)).toEqual(["cold", "warm", "cold", "warm"]);
        });

        it("is named as cold when a placement is explained", async () => {
            const { coordinator } = await startHarness(true);
            const placements = coordinator?.explainer.explain({ spec: createSpec(10), queue }).steps[0].placements;
            const reasons = new Map(placements?.map(each => [each.workerId, each.reasons]));
            expect(reasons.get("warm")).toContain("neither slow nor cold, as the job has little slack");
            expect(reasons.get("cold")).toContain("still slow after its start, as no better worker has room");
        });
    });

    describe("with the preference for fast workers off", () => {
        // Guards against plans that change although the feature is off.
        it("gets the same tasks as if it weren't cold", async () => {
            const [cold, usual] = [await startHarness(false), await startHarness(false, 0)];
            expect(await listStarts(cold, 10)).toEqual(await listStarts(usual, 10));
            const reasons = (harness: CoordinatorHarness) =>
                harness.coordinator?.explainer.explain({ spec: createSpec(4), queue }).steps[0].placements;
            expect(reasons(cold)).toEqual(reasons(usual));
        });
    });
});
