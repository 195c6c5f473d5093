import { describe, expect, it } from "@jest/globals";
import { chooseHoldWait } from "./chooseHoldWait.js";
import { limits } from "./limits.js";

describe("chooseHoldWait", () => {
    describe("while the event loop is on time", () => {
        it("chooses a shorter timeout for workers with best-effort tasks beside serving tasks", () => {
            expect(chooseHoldWait(true, 0)).toBe(limits.sharedHoldWaitMs);
            expect(chooseHoldWait(false, 0)).toBe(limits.holdWaitMs);
        });
    });

    describe("when the event loop is late", () => {
        it("chooses a longer timeout, so that frequent reports don't make lease renewals late", () => {
            expect(chooseHoldWait(true, 50)).toBeGreaterThan(chooseHoldWait(true, 0));
            expect(chooseHoldWait(true, 100)).toBeGreaterThan(chooseHoldWait(true, 50));
        });

        it("still gets a report from each worker before the worker would count as silent", () => {
            expect(chooseHoldWait(false, 10_000)).toBeLessThan(limits.workerSilenceMs);
            expect(chooseHoldWait(true, 10_000)).toBeLessThan(limits.workerSilenceMs);
        });
    });
});
