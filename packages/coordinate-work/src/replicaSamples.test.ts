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

describe("ReplicaLooks", () => {
    describe("when replicas of a step were looked at on several workers", () => {
        it("averages those on other workers, and what is beside them", () => {
            const replicas = new ReplicaSamples();
            replicas.recordSample(createTask(), createSample("a", 9, 1000, { own: 0.3 }));
            replicas.recordSample(createTask(), createSample("b", 2, 1000, { heavy: 0.2 }));
            replicas.recordSample(createTask(), createSample("c", 3, 1000, { heavy: 0.1, mild: 0.4 }));
            const others = replicas.computeAverageOfOthers("a", 1000, 0);
            expect(others?.headroom).toBeCloseTo(2.5);
            expect(others?.neighbours.map(({ image }) => image)).toEqual(["heavy", "mild"]);
            expect(others?.neighbours[0].weight).toBeCloseTo(0.15);
            expect(others?.neighbours[1].weight).toBeCloseTo(0.2);
        });

        it("brings them to one time by how their load changes", () => {
            const replicas = new ReplicaSamples();
            replicas.recordSample(createTask(), createSample("b", 2, 800));
            replicas.recordSample(createTask(), createSample("c", 2, 600));
            expect(replicas.computeAverageOfOthers("a", 1000, 0.5)?.headroom).toBeCloseTo(2.15);
        });
    });

    describe("when a replica is looked at again, or for a long time not, or has ended", () => {
        it("counts the newest look at those that still run", () => {
            const replicas = new ReplicaSamples();
            const [again, ended] = [createTask(), createTask()];
            replicas.recordSample(createTask(), createSample("old", 7, 200));
            replicas.recordSample(again, createSample("b", 5, 700, { gone: 0.1 }));
            replicas.recordSample(again, createSample("b", 2, 1000, { here: 0.2 }));
            replicas.recordSample(ended, createSample("c", 8, 1000));
            ended.phase = TaskPhase.Waiting;
            const others = replicas.computeAverageOfOthers("a", 1000, 0);
            expect(others?.headroom).toBeCloseTo(2);
            expect(others?.neighbours.map(({ image }) => image)).toEqual(["here"]);
            expect(replicas.computeAverageOfOthers("b", 1000, 0)).toBeUndefined();
        });
    });
});
