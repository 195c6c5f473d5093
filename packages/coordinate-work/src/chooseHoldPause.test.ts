import { describe, expect, it } from "@jest/globals";
import { chooseHoldPause } from "./chooseHoldPause.js";
import { chooseHoldWait } from "./chooseHoldWait.js";
import { limits } from "./limits.js";

describe("chooseHoldPause", () => {
    it("doesn't delay ends while the process has time", () => {
        expect(chooseHoldPause(0)).toBe(0);
    });

    it("has the ends of a worker come together, the more the later the loop is, up to a bound", () => {
        const pauses = [10, 30, 60, 1000].map(chooseHoldPause);
        expect(pauses).toEqual([...pauses].sort((left, right) => left - right));
        expect(pauses[0]).toBeGreaterThan(0);
        const longestMs = Math.max(chooseHoldWait(true, 1000), chooseHoldWait(false, 1000)) + pauses[3];
        expect(longestMs).toBeLessThan(limits.workerSilenceMs);
    });
});
