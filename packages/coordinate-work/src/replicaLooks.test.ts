import { describe, expect, it } from "@jest/globals";
import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { Look } from "./look.js";
import { ReplicaLooks } from "./replicaLooks.js";

function createTask(): Task {
    return { phase: TaskPhase.Running } as unknown as Task;
}

function createLook(workerId: string, headroom: number, atMs: number, weights: Record<string, number> = {}): Look {
    const neighbours = Object.entries(weights).map(([image, weight]) => ({ image, weight }));
    return { workerId, headroom, atMs, neighbours, lack: 0 };
}

describe("ReplicaLooks", () => {
    describe("when replicas of a step were looked at on several workers", () => {
        it("averages those on other workers, and what is beside them", () => {
            const replicas = new ReplicaLooks();
            replicas.takeLook(createTask(), createLook("a", 9, 1000, { own: 0.3 }));
            replicas.takeLook(createTask(), createLook("b", 2, 1000, { heavy: 0.2 }));
            replicas.takeLook(createTask(), createLook("c", 3, 1000, { heavy: 0.1, mild: 0.4 }));
            const others = replicas.computeOthers("a", 1000, 0);
            expect(others?.headroom).toBeCloseTo(2.5);
            expect(others?.neighbours.map(({ image }) => image)).toEqual(["heavy", "mild"]);
            expect(others?.neighbours[0].weight).toBeCloseTo(0.15);
            expect(others?.neighbours[1].weight).toBeCloseTo(0.2);
        });

        it("brings them to one time by how their load changes", () => {
            const replicas = new ReplicaLooks();
            replicas.takeLook(createTask(), createLook("b", 2, 800));
            replicas.takeLook(createTask(), createLook("c", 2, 600));
            expect(replicas.computeOthers("a", 1000, 0.5)?.headroom).toBeCloseTo(2.15);
        });
    });

    describe("when a replica is looked at again, or for a long time not, or has ended", () => {
        it("counts the newest look at those that still run", () => {
            const replicas = new ReplicaLooks();
            const [again, ended] = [createTask(), createTask()];
            replicas.takeLook(createTask(), createLook("old", 7, 200));
            replicas.takeLook(again, createLook("b", 5, 700, { gone: 0.1 }));
            replicas.takeLook(again, createLook("b", 2, 1000, { here: 0.2 }));
            replicas.takeLook(ended, createLook("c", 8, 1000));
            ended.phase = TaskPhase.Waiting;
            const others = replicas.computeOthers("a", 1000, 0);
            expect(others?.headroom).toBeCloseTo(2);
            expect(others?.neighbours.map(({ image }) => image)).toEqual(["here"]);
            expect(replicas.computeOthers("b", 1000, 0)).toBeUndefined();
        });
    });
});
