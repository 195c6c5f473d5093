import { describe, expect, it } from "@jest/globals";
import { limits } from "../limits.js";
import { chooseLongPollTimeout } from "./chooseLongPollTimeout.js";

describe("chooseLongPollTimeout", () => {
    describe("while the event loop is on time", () => {
        it("chooses a shorter timeout for workers with best-effort tasks beside serving tasks", () => {
            expect(chooseLongPollTimeout(true, 0)).toBe(limits.mixedLongPollMs);
            expect(chooseLongPollTimeout(false, 0)).toBe(limits.longPollMs);
        });
    });

    describe("when the event loop is late", () => {
        it("chooses a longer timeout, so that frequent reports don't make lease renewals late", () => {
            expect(chooseLongPollTimeout(true, 50)).toBeGreaterThan(chooseLongPollTimeout(true, 0));
            expect(chooseLongPollTimeout(true, 100)).toBeGreaterThan(chooseLongPollTimeout(true, 50));
        });

        it("still gets a report from each worker before the worker would count as silent", () => {
            expect(chooseLongPollTimeout(false, 10_000)).toBeLessThan(limits.workerSilenceMs);
            expect(chooseLongPollTimeout(true, 10_000)).toBeLessThan(limits.workerSilenceMs);
        });
    });
});
