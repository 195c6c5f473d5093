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
                first.learnUsual("serving", 2.3);
            }
            const second = new HeadroomEstimator();
            second.restoreState(first.describeState());
            expect(second.estimateHarm("serving", "heavy")).toBe(first.estimateHarm("serving", "heavy"));
            expect(second.estimateUsual("serving")).toBe(first.estimateUsual("serving"));
            expect(second.estimateLowest("serving")).toBe(first.estimateLowest("serving"));
            const outlier = { headroom: 0.3, neighbours: [{ image: "heavy", weight: 0.1 }] };
            second.learnDifference("serving", outlier, { headroom: 2.3, neighbours: [] }, NOISE_VARIANCE);
            expect(Math.abs(second.estimateHarm("serving", "heavy") - first.estimateHarm("serving", "heavy")))
                .toBeLessThan(2);
        });
    });
});
