import { describe, expect, it } from "@jest/globals";
import { Urgency, WorkKind } from "@sardinestage/types";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { InterferenceEstimator } from "./interferenceEstimator.js";
import { SizeEstimator } from "./sizeEstimator.js";
import { WorkerHealth } from "./workerHealth.js";

const SEED = 20261204;

describe("InterferenceEstimator", () => {
    describe("when neighbours come and go at random", () => {
        it("learns which of them slows the service down", () => {
            const random = xoroshiro128plus(SEED);
            const estimator = new InterferenceEstimator(0.1);
            for (let i = 0; i < 400; i++) {
                const bits = random.next();
                const neighbours = [...(bits & 1 ? ["noisy"] : []), ...(bits & 2 ? ["quiet"] : [])];
                estimator.learnLatency("route", neighbours, 20 * (1 + (bits & 1 ? 0.8 : 0)));
            }
            expect(estimator.estimateInterference("route", "noisy")).toBeGreaterThan(0.6);
            expect(estimator.estimateInterference("route", "quiet")).toBeLessThan(0.1);
        });
    });
});

describe("SizeEstimator", () => {
    describe("when the declared size is wrong", () => {
        it("uses the measured size once there are enough samples", () => {
            const spec = {
                taskId: "t",
                team: "p",
                kind: WorkKind.Batch,
                urgency: Urgency.Normal,
                taskClass: "c",
                size: { cpuMillis: 1000, memoryMb: 10, accelerators: 1, slots: 1 },
                expectedRunMs: 1,
                payload: "",
            };
            const estimator = new SizeEstimator(0.9);
            expect(estimator.estimateSize(spec).cpuMillis).toBe(1000);
            for (let i = 0; i < 10; i++) {
                estimator.learnUsage("c", { taskId: "t", cpuMillis: 3000, memoryMb: 20 });
            }
            expect(estimator.estimateSize(spec)).toEqual({ cpuMillis: 3000, memoryMb: 20, accelerators: 1, slots: 1 });
        });
    });
});

describe("WorkerHealth", () => {
    describe("when attempts fail on one worker and succeed on others", () => {
        it("excludes the worker, and ends its probation at its first success", () => {
            const health = new WorkerHealth();
            for (let i = 0; i < 10; i++) {
                health.recordEnd("good", true, 0);
                health.recordEnd("bad", false, 0);
            }
            expect(health.isExcluded("bad", 1)).toBe(true);
            expect(health.isExcluded("good", 1)).toBe(false);
            health.recordEnd("bad", true, 2);
            expect(health.isOnProbation("bad")).toBe(false);
        });
    });

    describe("when a job fails everywhere", () => {
        it("excludes no worker", () => {
            const health = new WorkerHealth();
            for (let i = 0; i < 10; i++) {
                ["a", "b", "c"].forEach(worker => health.recordEnd(worker, false, 0));
            }
            expect(health.isExcluded("a", 1)).toBe(false);
        });
    });
});
