import { describe, expect, it } from "@jest/globals";
import { scheduleTimeout } from "./scheduleTimeout.js";

const TIMEOUT_MS = 20;

describe("scheduleTimeout", () => {
    it("runs the action after its time", async () => {
        const startMs = performance.now();
        await new Promise<void>(resolve => scheduleTimeout(resolve, TIMEOUT_MS));
        // Timers may fire up to a millisecond early.
        expect(performance.now() - startMs).toBeGreaterThan(TIMEOUT_MS - 2);
    });

    describe("when it is cancelled between its time and the action", () => {
        it("doesn't run the action", async () => {
            let isRun = false;
            const cancelTimeout = scheduleTimeout(() => {
                isRun = true;
            }, TIMEOUT_MS);
            await new Promise<void>(resolve => setTimeout(resolve, TIMEOUT_MS));
            cancelTimeout();
            await new Promise<void>(resolve => setTimeout(resolve, TIMEOUT_MS));
            expect(isRun).toBe(false);
        });
    });
});
