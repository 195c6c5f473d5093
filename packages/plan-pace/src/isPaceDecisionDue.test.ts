import { describe, expect, it } from "@jest/globals";
import { isPaceDecisionDue } from "./isPaceDecisionDue.js";

const RULES = {
    settleMs: 600,
    pauseAfterMs: 600,
    pauseAllAfterMs: 1600,
    stopAfterMs: 2400,
    minIncreasePercent: 30,
    increaseDelayMs: 1200,
};

describe("isPaceDecisionDue", () => {
    describe("while nothing changes", () => {
        it("needs no decision", () => {
            expect(isPaceDecisionDue({ overSinceMs: undefined, noIncreaseUntilMs: 0 }, false, 0, 100, RULES)).toBe(
                false,
            );
            expect(isPaceDecisionDue({ overSinceMs: 1000, noIncreaseUntilMs: 0 }, true, 1100, 1200, RULES)).toBe(false);
        });
    });

    describe("when a serving task exceeds its latency target, or is back below it", () => {
        it("needs a decision at once", () => {
            expect(isPaceDecisionDue({ overSinceMs: undefined, noIncreaseUntilMs: 0 }, true, 0, 1, RULES)).toBe(true);
            expect(isPaceDecisionDue({ overSinceMs: 1000, noIncreaseUntilMs: 0 }, false, 1100, 1101, RULES)).toBe(true);
        });
    });

    describe("when a serving task has exceeded its target for as long as a countermeasure waits", () => {
        it.each([600, 1600, 2400])("needs exactly one decision (%d ms)", afterMs => {
            const state = { overSinceMs: 1000, noIncreaseUntilMs: 0 };
            const atMs = 1000 + afterMs;
            expect(isPaceDecisionDue(state, true, atMs - 10, atMs - 1, RULES)).toBe(false);
            expect(isPaceDecisionDue(state, true, atMs - 10, atMs, RULES)).toBe(true);
            expect(isPaceDecisionDue(state, true, atMs, atMs + 10, RULES)).toBe(false);
        });
    });
});
