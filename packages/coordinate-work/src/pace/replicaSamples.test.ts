import { describe, expect, it } from "@jest/globals";
import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { HeadroomSample } from "./headroomSample.js";
import { ReplicaSamples } from "./replicaSamples.js";

function createTask(): Task {
    return { phase: TaskPhase.Running } as unknown as Task;
}

function createSample(
    workerId: string,
    headroom: number,
    atMs: number,
    weights: Record<string, number> = {},
): HeadroomSample {
    const neighbours = Object.entries(weights).map(([image, weight]) => ({ image, weight }));
    return { workerId, headroom, atMs, neighbours, deficit: 0 };
}

describe("ReplicaSamples", () => {
    describe("when replicas of a step were sampled on several workers", () => {
        it("averages the headroom and the neighbours of the replicas on other workers", () => {
            const samples = new ReplicaSamples();
            samples.recordSample(createTask(), createSample("a", 9, 1000, { own: 0.3 }));
            samples.recordSample(createTask(), createSample("b", 2, 1000, { heavy: 0.2 }));
            samples.recordSample(createTask(), createSample("c", 3, 1000, { heavy: 0.1, mild: 0.4 }));
            const others = samples.computeAverageOfOthers("a", 1000, 0);
            expect(others?.headroom).toBeCloseTo(2.5);
            expect(others?.neighbours.map(({ image }) => image)).toEqual(["heavy", "mild"]);
            expect(others?.neighbours[0].weight).toBeCloseTo(0.15);
            expect(others?.neighbours[1].weight).toBeCloseTo(0.2);
        });

        it("adjusts the samples to one time by the change of their headroom", () => {
            const samples = new ReplicaSamples();
            samples.recordSample(createTask(), createSample("b", 2, 800));
            samples.recordSample(createTask(), createSample("c", 2, 600));
            expect(samples.computeAverageOfOthers("a", 1000, 0.5)?.headroom).toBeCloseTo(2.15);
        });
    });

    describe("when a replica is sampled again, has an old sample, or has ended", () => {
        it("averages the newest recent samples of running replicas", () => {
            const samples = new ReplicaSamples();
            const [again, ended] = [createTask(), createTask()];
            samples.recordSample(createTask(), createSample("old", 7, 200));
            samples.recordSample(again, createSample("b", 5, 700, { gone: 0.1 }));
            samples.recordSample(again, createSample("b", 2, 1000, { here: 0.2 }));
            samples.recordSample(ended, createSample("c", 8, 1000));
            ended.phase = TaskPhase.Waiting;
            const others = samples.computeAverageOfOthers("a", 1000, 0);
            expect(others?.headroom).toBeCloseTo(2);
            expect(others?.neighbours.map(({ image }) => image)).toEqual(["here"]);
            expect(samples.computeAverageOfOthers("b", 1000, 0)).toBeUndefined();
        });
    });
});
