import { describe, expect, it } from "@jest/globals";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { LinearEstimator } from "./linearEstimator.js";

const SEED = 20261204;
const TWO_TO_THE_32 = 2 ** 32;
const NOISE_VARIANCE = 0.2;
const PRIOR = { mean: 1.3, variance: 4 };
const trueCoefficients = new Map([["a", 6], ["b", 1.2], ["c", 1.2], ["d", 1.2], ["rare", 1.2]]);

function createRandom(): () => number {
    const generator = xoroshiro128plus(SEED);
    return () => (generator.next() >>> 0) / TWO_TO_THE_32;
}

/** Learns from random inputs of -0.05 to -0.25 each, as neighbours that use that share of a worker, with noise. */
function learnOnce(estimator: LinearEstimator, random: () => number, rareShare: number): void {
    const inputs = new Map<string, number>();
    for (const name of trueCoefficients.keys()) {
        if (random() < (name === "rare" ? rareShare : 0.5)) {
            inputs.set(name, -0.05 - random() * 0.2);
        }
    }
    const sum = [...inputs].reduce((total, [name, weight]) => total + weight * (trueCoefficients.get(name) ?? 0), 0);
    const noise = (random() + random() + random() - 1.5) * 0.9;
    estimator.learn(inputs, sum + noise, NOISE_VARIANCE);
}

describe("LinearEstimator", () => {
    describe("when it has learned for a long time while one input was rare", () => {
        it("stays near the true coefficients, within a bound that its deviations give", () => {
            const random = createRandom();
            const estimator = new LinearEstimator(PRIOR);
            for (let sample = 0; sample < 20_000; sample++) {
                learnOnce(estimator, random, 0.01);
                if (sample > 2000) {
                    for (const [name, value] of trueCoefficients) {
                        const error = Math.abs(estimator.getCoefficient(name) - value);
                        expect(error).toBeLessThan(Math.max(1, 4 * estimator.getDeviation(name)));
                    }
                }
            }
            expect(estimator.getDeviation("a")).toBeLessThan(0.5);
            expect(estimator.getDeviation("rare")).toBeGreaterThan(estimator.getDeviation("a"));
            expect(estimator.getDeviation("unseen")).toBe(2);
        });
    });

    describe("when inputs are added one after another", () => {
        it("keeps the coefficients of the others and their covariances", () => {
            const early = new LinearEstimator(PRIOR);
            const late = new LinearEstimator(PRIOR);
            const names = Array.from({ length: 40 }, (_unused, index) => `n${index}`);
            // `early` gets all names before it learns, so that its covariance matrix never grows again.
            early.learn(new Map(names.map(name => [name, 0])), 0, NOISE_VARIANCE);
            names.forEach((name, index) => {
                const inputs = new Map([[name, 0.3], [names[Math.max(0, index - 1)], 0.2], ["n0", 0.1]]);
                early.learn(inputs, index / 10, NOISE_VARIANCE);
                late.learn(inputs, index / 10, NOISE_VARIANCE);
            });
            for (const name of names) {
                expect(late.getCoefficient(name)).toBeCloseTo(early.getCoefficient(name), 9);
                expect(late.getDeviation(name)).toBeCloseTo(early.getDeviation(name), 9);
            }
        });
    });
});
