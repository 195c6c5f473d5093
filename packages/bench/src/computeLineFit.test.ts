import { describe, expect, it } from "@jest/globals";
import { computeLineFit } from "./computeLineFit.js";

describe("computeLineFit", () => {
    describe("when the points lie on a line", () => {
        it("returns its slope and intercept", () => {
            const fit = computeLineFit([[1, 5], [2, 7], [4, 11]]);
            expect(fit.slope).toBeCloseTo(2);
            expect(fit.intercept).toBeCloseTo(3);
            expect(fit.r2).toBeCloseTo(1);
        });
    });

    describe("when the points scatter", () => {
        it("returns a low share of explained variance", () => {
            expect(computeLineFit([[1, 1], [2, 5], [3, 1], [4, 5]]).r2).toBeLessThan(0.5);
        });
    });
});
