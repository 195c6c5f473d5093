import { describe, expect, it } from "@jest/globals";
import { DurationSpread } from "./durationSpread.js";

/** 3% of the durations are 7 times as long. */
function createTailed(): DurationSpread {
    const spread = new DurationSpread();
    for (let index = 0; index < 200; index++) {
        spread.learnRatio(index % 33 === 0 ? 7 : 1);
    }
    return spread;
}

// Guards against copies of tasks that only just began, and against none of those in the tail.
describe("The spread of durations", () => {
    it("expects little more of a usual run, and much more of one that has outlasted the usual ones", () => {
        const spread = createTailed();
        expect(spread.estimateRemaining(0.5)).toBeLessThan(0.8);
        expect(spread.estimateRemaining(1.5)).toBeGreaterThan(4);
    });

    it("expects a run beyond all known ones to last as long again", () => {
        expect(createTailed().estimateRemaining(40)).toBe(40);
    });

    it("estimates nothing from a few durations", () => {
        const spread = new DurationSpread();
        spread.learnRatio(1);
        expect(spread.estimateRemaining(0)).toBeUndefined();
    });

    it("is restored from its description", () => {
        const spread = createTailed();
        const restored = new DurationSpread(spread.describeState());
        expect(restored.estimateRemaining(1.5)).toBeCloseTo(spread.estimateRemaining(1.5) ?? 0, 1);
    });
});
