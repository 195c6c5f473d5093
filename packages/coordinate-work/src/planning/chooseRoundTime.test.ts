import { describe, expect, it } from "@jest/globals";
import { limits } from "../limits.js";
import { chooseRoundTime } from "./chooseRoundTime.js";

describe("chooseRoundTime", () => {
    describe("after a round that took at most 1 ms", () => {
        it("starts the next round at the requested time", () => {
            expect(chooseRoundTime(1004, { endedAtMs: 1000, tookMs: 0 })).toBe(1004);
            expect(chooseRoundTime(1004, { endedAtMs: 1000, tookMs: 1 })).toBe(1004);
        });
    });

    describe("after a round that took long", () => {
        it("waits until rounds take no more than their share of the loop", () => {
            const startsAtMs = chooseRoundTime(1004, { endedAtMs: 1000, tookMs: 20 });
            expect(20 / (20 + startsAtMs - 1000)).toBeCloseTo(limits.maxRoundShare);
        });

        it("waits no longer than the idle interval", () => {
            expect(chooseRoundTime(1004, { endedAtMs: 1000, tookMs: 10_000 })).toBe(1000 + limits.idleRoundMs);
        });

        it("doesn't delay a round that is requested for a later time", () => {
            expect(chooseRoundTime(3000, { endedAtMs: 1000, tookMs: 20 })).toBe(3000);
        });
    });
});
