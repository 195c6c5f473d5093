import { describe, expect, it } from "@jest/globals";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { HeadroomEstimator } from "./headroomEstimator.js";

const SEED = 20261204;
const TWO_TO_THE_32 = 2 ** 32;
const NOISE_VARIANCE = 0.2;
const trueInterference = new Map([["heavy", 10], ["mild", 2], ["harmless", 0]]);

function createRandom(): () => number {
    const generator = xoroshiro128plus(SEED);
    return () => (generator.next() >>> 0) / TWO_TO_THE_32;
}

/** Creates a replica's measurement beside random neighbours, under a load that leaves `alone` headroom without them. */
function createMeasurement(alone: number, random: () => number) {
    const neighbours = [...trueInterference.keys()]
        .filter(() => random() < 0.5)
        .map(image => ({ image, weight: 0.05 + random() * 0.1 }));
    const taken = neighbours.reduce((sum, { image, weight }) => sum + weight * (trueInterference.get(image) ?? 0), 0);
    return { headroom: alone - taken + (random() - 0.5) * 0.6, neighbours };
}

describe("HeadroomEstimator", () => {
    describe("when neighbours of three images come and go beside replicas that share a varying load", () => {
        it("learns within 100 measurements which of them takes headroom, and about how much", () => {
            const random = createRandom();
            const estimator = new HeadroomEstimator();
            for (let sample = 0; sample < 100; sample++) {
                // The load changes headroom by more than any one neighbour takes.
                const alone = 2.5 + 1.2 * Math.sin(sample / 5);
                const measurement = createMeasurement(alone, random);
                estimator.learnDifference("serving", measurement, createMeasurement(alone, random), NOISE_VARIANCE);
            }
            expect(estimator.estimateInterference("serving", "heavy")).toBeGreaterThan(8);
            expect(estimator.estimateInterference("serving", "heavy")).toBeLessThan(12);
            expect(estimator.estimateInterference("serving", "mild")).toBeLessThan(3.5);
            expect(estimator.estimateInterference("serving", "harmless")).toBeLessThan(1);
        });
    });

    describe("when nothing was measured", () => {
        it("returns undefined averages and the same prior interference for each neighbour", () => {
            const estimator = new HeadroomEstimator();
            expect(estimator.estimateUsualHeadroom("serving")).toBeUndefined();
            expect(estimator.estimateSensitivity("serving")).toBeUndefined();
            expect(estimator.estimateInterference("serving", "other")).toBeGreaterThan(0);
            expect(estimator.estimateInterference("serving", "other")).toBe(
                estimator.estimateInterference("serving", "another"),
            );
        });
    });

    describe("when headroom without neighbours was measured", () => {
        it("tracks the average headroom", () => {
            const estimator = new HeadroomEstimator();
            for (let sample = 0; sample < 500; sample++) {
                estimator.learnUsualHeadroom("serving", 2.5 + Math.sin(sample / 5));
            }
            expect(estimator.estimateUsualHeadroom("serving")).toBeGreaterThan(2.2);
            expect(estimator.estimateUsualHeadroom("serving")).toBeLessThan(2.8);
        });
    });
});
