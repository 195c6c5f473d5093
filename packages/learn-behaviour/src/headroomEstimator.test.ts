import { describe, expect, it } from "@jest/globals";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { HeadroomEstimator } from "./headroomEstimator.js";

const SEED = 20261204;
const TWO_TO_THE_32 = 2 ** 32;

describe("HeadroomEstimator", () => {
    describe("when neighbours of three images come and go under a swinging load", () => {
        it("learns which of them takes headroom, and about how much", () => {
            const generator = xoroshiro128plus(SEED);
            const random = () => (generator.next() >>> 0) / TWO_TO_THE_32;
            const estimator = new HeadroomEstimator();
            for (let look = 0; look < 600; look++) {
                const neighbours = ["heavy", "mild", "harmless"]
                    .filter(() => random() < 0.5)
                    .map(image => ({ image, weight: 0.05 + random() * 0.1 }));
                const taken = neighbours.reduce(
                    (sum, { image, weight }) => sum + weight * (image === "heavy" ? 10 : image === "mild" ? 2 : 0),
                    0,
                );
                estimator.learnHeadroom("serving", neighbours, 2.5 + (random() - 0.5) - taken);
            }
            expect(estimator.estimateHarm("serving", "heavy")).toBeGreaterThan(8);
            expect(estimator.estimateHarm("serving", "heavy")).toBeLessThan(12);
            expect(estimator.estimateHarm("serving", "mild")).toBeLessThan(3.5);
            expect(estimator.estimateHarm("serving", "harmless")).toBeLessThan(1);
            expect(estimator.estimateAlone("serving")).toBeGreaterThan(2.2);
        });
    });

    describe("when nothing was measured", () => {
        it("says so, and takes no neighbour for harmful", () => {
            const estimator = new HeadroomEstimator();
            expect(estimator.estimateAlone("serving")).toBeUndefined();
            expect(estimator.estimateHarm("serving", "other")).toBe(0);
            expect(estimator.estimateSensitivity("serving")).toBeUndefined();
        });
    });
});
