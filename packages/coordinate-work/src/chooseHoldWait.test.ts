import { describe, expect, it } from "@jest/globals";
import { chooseHoldWait } from "./chooseHoldWait.js";
import { limits } from "./limits.js";

describe("chooseHoldWait", () => {
    describe("while the loop is on time", () => {
        it("looks at shared workers more often than at others", () => {
            expect(chooseHoldWait(true, 0)).toBe(limits.sharedHoldWaitMs);
            expect(chooseHoldWait(false, 0)).toBe(limits.holdWaitMs);
        });
    });

    describe("when the loop is late", () => {
        it("looks less often, so that leases aren't lost to looks", () => {
            expect(chooseHoldWait(true, 50)).toBeGreaterThan(chooseHoldWait(true, 0));
            expect(chooseHoldWait(true, 100)).toBeGreaterThan(chooseHoldWait(true, 50));
        });

        it("still hears of each worker before it would be taken for silent", () => {
            expect(chooseHoldWait(false, 10_000)).toBeLessThan(limits.workerSilenceMs);
            expect(chooseHoldWait(true, 10_000)).toBeLessThan(limits.workerSilenceMs);
        });
    });
});
