import { describe, expect, it } from "@jest/globals";
import { limits } from "../limits.js";
import { chooseLongPollTimeout } from "./chooseLongPollTimeout.js";
import { chooseRenewalPause } from "./chooseRenewalPause.js";

describe("chooseRenewalPause", () => {
    it("adds no pause while the event loop is on time", () => {
        expect(chooseRenewalPause(0)).toBe(0);
    });

    it("pauses longer the later the event loop is, up to a bound, so that more run ends share a report", () => {
        const pauses = [10, 30, 60, 1000].map(chooseRenewalPause);
        expect(pauses).toEqual([...pauses].sort((left, right) => left - right));
        expect(pauses[0]).toBeGreaterThan(0);
        const longestMs = Math.max(chooseLongPollTimeout(true, 1000), chooseLongPollTimeout(false, 1000)) + pauses[3];
        expect(longestMs).toBeLessThan(limits.workerSilenceMs);
    });
});
