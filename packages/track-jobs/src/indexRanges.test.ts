import { describe, expect, it } from "@jest/globals";
import { IndexRanges } from "./indexRanges.js";

const SEEDS = [20261205, 20261206, 20261207];
const LIMIT = 60;
const STEPS = 400;

/** Returns whole numbers below a limit, from a linear congruential generator. */
function createPicker(seed: number): (limit: number) => number {
    let state = seed;
    return limit => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return Math.floor(state / 2 ** 32 * limit);
    };
}

describe("A set of index ranges", () => {
    describe.each(SEEDS)("filled in random order with seed %d", seed => {
        it("answers like a set of numbers, and is restored from its bounds", () => {
            const pick = createPicker(seed);
            const ranges = new IndexRanges();
            const expected = new Set<number>();
            for (let step = 0; step < STEPS; step++) {
                const added = pick(LIMIT);
                ranges.add(added);
                expected.add(added);
                const number = pick(LIMIT);
                const missing = Array.from({ length: LIMIT + 1 }, (_unused, index) => index)
                    .filter(index => !expected.has(index));
                expect(ranges.size).toBe(expected.size);
                expect(ranges.has(number)).toBe(expected.has(number));
                expect(ranges.findMissingFrom(number)).toBe(missing.find(index => index >= number));
                expect(ranges.findMissingBelow(number)).toBe(missing.findLast(index => index < number) ?? -1);
            }
            const restored = new IndexRanges(ranges.listBounds());
            expect([...restored.listNumbers()]).toEqual([...expected].sort((left, right) => left - right));
            expect(restored.size).toBe(expected.size);
        });
    });

    it("keeps numbers in a row as one range, in whatever order they come", () => {
        const ranges = new IndexRanges();
        for (let number = 0; number < 100_000; number += 2) {
            ranges.add(number);
        }
        for (let number = 1; number < 100_000; number += 2) {
            ranges.add(number);
        }
        expect(ranges.rangeCount).toBe(1);
        expect(ranges.size).toBe(100_000);
    });
});
