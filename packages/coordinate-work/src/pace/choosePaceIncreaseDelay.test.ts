import { describe, expect, it } from "@jest/globals";
import { choosePaceIncreaseDelay } from "./choosePaceIncreaseDelay.js";

describe("choosePaceIncreaseDelay", () => {
    describe("when the event loop is delayed", () => {
        it("lengthens the delay up to a limit", () => {
            expect(choosePaceIncreaseDelay(50)).toBeGreaterThan(choosePaceIncreaseDelay(0));
            expect(choosePaceIncreaseDelay(100)).toBeGreaterThan(choosePaceIncreaseDelay(50));
            expect(choosePaceIncreaseDelay(10_000)).toBe(choosePaceIncreaseDelay(100));
        });
    });
});
