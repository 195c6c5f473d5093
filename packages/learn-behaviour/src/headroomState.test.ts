import { describe, expect, it } from "@jest/globals";
import { HeadroomEstimator } from "./headroomEstimator.js";

const NOISE_VARIANCE = 0.2;

describe("HeadroomEstimator", () => {
    describe("when another estimator is restored from its state", () => {
        it("returns the same estimates, and one outlier hardly changes them", () => {
            const first = new HeadroomEstimator();
            for (let sample = 0; sample < 50; sample++) {
                const measurement = { headroom: 1.5, neighbours: [{ image: "heavy", weight: 0.1 }] };
                first.learnDifference("serving", measurement, { headroom: 2.3, neighbours: [] }, NOISE_VARIANCE);
                first.learnUsualHeadroom("serving", 2.3);
            }
            const second = new HeadroomEstimator();
            second.restoreState(first.describeState());
            expect(second.estimateInterference("serving", "heavy")).toBe(
                first.estimateInterference("serving", "heavy"),
            );
            expect(second.estimateUsualHeadroom("serving")).toBe(first.estimateUsualHeadroom("serving"));
            expect(second.estimateLowestHeadroom("serving")).toBe(first.estimateLowestHeadroom("serving"));
            const outlier = { headroom: 0.3, neighbours: [{ image: "heavy", weight: 0.1 }] };
            second.learnDifference("serving", outlier, { headroom: 2.3, neighbours: [] }, NOISE_VARIANCE);
            expect(
                Math.abs(
                    second.estimateInterference("serving", "heavy") - first.estimateInterference("serving", "heavy"),
                ),
            )
                .toBeLessThan(2);
        });
    });
});
