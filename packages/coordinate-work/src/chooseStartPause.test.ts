import { describe, expect, it } from "@jest/globals";
import { chooseStartPause } from "./chooseStartPause.js";
import { limits } from "./limits.js";

describe("chooseStartPause", () => {
    it("doesn't hold starts up in a process that is busy but whose loop turns", () => {
        expect([0, 50, limits.busyLoopDelayMs].map(delayMs => chooseStartPause(20, delayMs))).toEqual([0, 0, 0]);
    });

    it("leaves half of the loop to renewals where it stands still", () => {
        expect(chooseStartPause(20, limits.busyLoopDelayMs * 1.5)).toBe(10);
        expect([2, 10].map(times => chooseStartPause(20, limits.busyLoopDelayMs * times))).toEqual([20, 20]);
    });
});
