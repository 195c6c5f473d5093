import { describe, expect, it } from "@jest/globals";
import { chooseRiseWait } from "./chooseRiseWait.js";

describe("chooseRiseWait", () => {
    describe("when the loop is late", () => {
        it("lets rises wait longer, but not for ever", () => {
            expect(chooseRiseWait(50)).toBeGreaterThan(chooseRiseWait(0));
            expect(chooseRiseWait(100)).toBeGreaterThan(chooseRiseWait(50));
            expect(chooseRiseWait(10_000)).toBe(chooseRiseWait(100));
        });
    });
});
