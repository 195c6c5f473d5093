import { describe, expect, it } from "@jest/globals";
import { chooseRoundTime } from "./chooseRoundTime.js";
import { limits } from "./limits.js";

describe("chooseRoundTime", () => {
    describe("after a round that took next to nothing", () => {
        it("keeps to the time that was asked for", () => {
            expect(chooseRoundTime(1004, { endedAtMs: 1000, tookMs: 0 })).toBe(1004);
            expect(chooseRoundTime(1004, { endedAtMs: 1000, tookMs: 1 })).toBe(1004);
        });
    });

    describe("after a round that took long", () => {
        it("leaves the loop to others for so long that rounds keep to their share", () => {
            const startsAtMs = chooseRoundTime(1004, { endedAtMs: 1000, tookMs: 20 });
            expect(20 / (20 + startsAtMs - 1000)).toBeCloseTo(limits.maxRoundShare);
        });

        it("waits no longer than an idle coordinator does", () => {
            expect(chooseRoundTime(1004, { endedAtMs: 1000, tookMs: 10_000 })).toBe(1000 + limits.idleRoundMs);
        });

        it("doesn't put off what is asked for later", () => {
            expect(chooseRoundTime(3000, { endedAtMs: 1000, tookMs: 20 })).toBe(3000);
        });
    });
});
