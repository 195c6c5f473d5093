import { describe, expect, it } from "@jest/globals";
import { limits } from "../limits.js";
import { chooseFlushInterval } from "./chooseFlushInterval.js";

describe("chooseFlushInterval", () => {
    it("is the shortest while the loop turns freely", () => {
        expect(chooseFlushInterval(0)).toBe(limits.flushIntervalMs);
    });

    it("grows with the loop's delay up to its bound", () => {
        expect(chooseFlushInterval(limits.busyLoopDelayMs / 2)).toBeGreaterThan(limits.flushIntervalMs);
        expect(chooseFlushInterval(limits.busyLoopDelayMs * 10)).toBe(limits.busyFlushIntervalMs);
    });
});
