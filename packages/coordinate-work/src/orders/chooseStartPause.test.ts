import { describe, expect, it } from "@jest/globals";
import { limits } from "../limits.js";
import { chooseStartPause } from "./chooseStartPause.js";

describe("chooseStartPause", () => {
    it("makes no pause in a busy process whose loop isn't overloaded", () => {
        expect([0, 50, limits.busyLoopDelayMs].map(delayMs => chooseStartPause(20, delayMs))).toEqual([0, 0, 0]);
    });

    it("leaves up to half of an overloaded loop to renewals", () => {
        expect(chooseStartPause(20, limits.busyLoopDelayMs * 1.5)).toBe(10);
        expect([2, 10].map(times => chooseStartPause(20, limits.busyLoopDelayMs * times))).toEqual([20, 20]);
    });
});
