import { describe, expect, it } from "@jest/globals";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { HeadroomEstimator } from "./headroomEstimator.js";

const SEED = 20261204;
const TWO_TO_THE_32 = 2 ** 32;
const NOISE_VARIANCE = 0.2;
const trueHarms = new Map([["heavy", 10], ["mild", 2], ["harmless", 0]]);

function createRandom(): () => number {
    const generator = xoroshiro128plus(SEED);
    return () => (generator.next() >>> 0) / TWO_TO_THE_32;
}

/** A replica's figure beside some neighbours, under a load that leaves `alone` without them. */
function createFigure(alone: number, random: () => number) {
    const neighbours = [...trueHarms.keys()]
        .filter(() => random() < 0.5)
        .map(image => ({ image, weight: 0.05 + random() * 0.1 }));
    const taken = neighbours.reduce((sum, { image, weight }) => sum + weight * (trueHarms.get(image) ?? 0), 0);
    return { headroom: alone - taken + (random() - 0.5) * 0.6, neighbours };
}

describe("HeadroomEstimator", () => {
    describe("when neighbours of three images come and go beside replicas that share a swinging load", () => {
        it("learns within 100 figures which of them takes headroom, and about how much", () => {
            const random = createRandom();
            const estimator = new HeadroomEstimator();
            for (let look = 0; look < 100; look++) {
                // The load's swing is larger than what any one neighbour takes.
                const alone = 2.5 + 1.2 * Math.sin(look / 5);
                const figure = createFigure(alone, random);
                estimator.learnDifference("serving", figure, createFigure(alone, random), NOISE_VARIANCE);
            }
            expect(estimator.estimateHarm("serving", "heavy")).toBeGreaterThan(8);
            expect(estimator.estimateHarm("serving", "heavy")).toBeLessThan(12);
            expect(estimator.estimateHarm("serving", "mild")).toBeLessThan(3.5);
            expect(estimator.estimateHarm("serving", "harmless")).toBeLessThan(1);
        });
    });

    describe("when nothing was measured", () => {
        it("says so, and takes each neighbour for a usual one", () => {
            const estimator = new HeadroomEstimator();
            expect(estimator.estimateUsual("serving")).toBeUndefined();
            expect(estimator.estimateSensitivity("serving")).toBeUndefined();
            expect(estimator.estimateHarm("serving", "other")).toBeGreaterThan(0);
            expect(estimator.estimateHarm("serving", "other")).toBe(estimator.estimateHarm("serving", "another"));
        });
    });

    describe("when figures without neighbours came in", () => {
        it("follows the usual headroom", () => {
            const estimator = new HeadroomEstimator();
            for (let look = 0; look < 500; look++) {
                estimator.learnUsual("serving", 2.5 + Math.sin(look / 5));
            }
            expect(estimator.estimateUsual("serving")).toBeGreaterThan(2.2);
            expect(estimator.estimateUsual("serving")).toBeLessThan(2.8);
        });
    });
});
