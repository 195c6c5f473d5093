import { describe, expect, it } from "@jest/globals";
import { stopLoop } from "@sardinestage/emulate-platform";
import { scheduleTimeout } from "./scheduleTimeout.js";

const TIMEOUT_MS = 20;

describe("scheduleTimeout", () => {
    it("runs the action after its time", async () => {
        const startMs = performance.now();
        await new Promise<void>(resolve => scheduleTimeout(resolve, TIMEOUT_MS));
        // Timers may fire up to a millisecond early.
        expect(performance.now() - startMs).toBeGreaterThan(TIMEOUT_MS - 2);
    });

    describe("when the loop stood still meanwhile", () => {
        it("leaves as much time for an answer that takes two more turns of the loop", async () => {
            let isRun = false;
            const timeoutMs = TIMEOUT_MS * 10;
            const cancelTimeout = scheduleTimeout(() => {
                isRun = true;
            }, timeoutMs);
            stopLoop(timeoutMs * 2);
            await new Promise<void>(resolve => setTimeout(resolve, 0));
            await new Promise<void>(resolve => setTimeout(resolve, TIMEOUT_MS));
            cancelTimeout();
            await new Promise<void>(resolve => setTimeout(resolve, timeoutMs * 2));
            expect(isRun).toBe(false);
        });

        it("runs the action all the same if none comes", async () => {
            const startMs = performance.now();
            const done = new Promise<void>(resolve => scheduleTimeout(resolve, TIMEOUT_MS));
            stopLoop(TIMEOUT_MS * 4);
            await done;
            expect(performance.now() - startMs).toBeGreaterThan(TIMEOUT_MS * 5 - 2);
        });
    });

    describe("when it is cancelled between its time and the action", () => {
        it("doesn't run the action", async () => {
            let isRun = false;
            const cancelTimeout = scheduleTimeout(() => {
                isRun = true;
            }, TIMEOUT_MS);
            const due = new Promise<void>(resolve => setTimeout(resolve, TIMEOUT_MS));
            // Both timers are due by then, so that they fire in one turn, in their order.
            stopLoop(TIMEOUT_MS + 5);
            await due;
            cancelTimeout();
            await new Promise<void>(resolve => setTimeout(resolve, TIMEOUT_MS));
            expect(isRun).toBe(false);
        });
    });
});
