import { describe, expect, it } from "@jest/globals";
import { choosePaceIncreaseDelay } from "./choosePaceIncreaseDelay.js";

describe("chooseRiseWait", () => {
    describe("when the loop is late", () => {
        it("lets rises wait longer, but not for ever", () => {
            expect(choosePaceIncreaseDelay(50)).toBeGreaterThan(choosePaceIncreaseDelay(0));
            expect(choosePaceIncreaseDelay(100)).toBeGreaterThan(choosePaceIncreaseDelay(50));
            expect(choosePaceIncreaseDelay(10_000)).toBe(choosePaceIncreaseDelay(100));
        });
    });
});
