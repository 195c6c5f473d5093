import { describe, expect, it } from "@jest/globals";
import { computeLineFit } from "./computeLineFit.js";

describe("computeLineFit", () => {
    describe("when the points lie on a line", () => {
        it("finds the line", () => {
            const fit = computeLineFit([[1, 5], [2, 7], [4, 11]]);
            expect(fit.slope).toBeCloseTo(2);
            expect(fit.intercept).toBeCloseTo(3);
            expect(fit.r2).toBeCloseTo(1);
        });
    });

    describe("when they scatter", () => {
        it("says how little the line explains", () => {
            expect(computeLineFit([[1, 1], [2, 5], [3, 1], [4, 5]]).r2).toBeLessThan(0.5);
        });
    });
});
