import { describe, expect, it } from "@jest/globals";
import { chooseHoldPause } from "./chooseHoldPause.js";
import { chooseHoldWait } from "./chooseHoldWait.js";
import { limits } from "./limits.js";

describe("chooseHoldPause", () => {
    it("adds no pause while the event loop is on time", () => {
        expect(chooseHoldPause(0)).toBe(0);
    });

    it("pauses longer the later the event loop is, up to a bound, so that more run ends share a report", () => {
        const pauses = [10, 30, 60, 1000].map(chooseHoldPause);
        expect(pauses).toEqual([...pauses].sort((left, right) => left - right));
        expect(pauses[0]).toBeGreaterThan(0);
        const longestMs = Math.max(chooseHoldWait(true, 1000), chooseHoldWait(false, 1000)) + pauses[3];
        expect(longestMs).toBeLessThan(limits.workerSilenceMs);
    });
});
