import { describe, expect, it } from "@jest/globals";
import { stopEventLoop } from "@sardinestage/emulate-platform";
import { scheduleTimeout } from "./scheduleTimeout.js";

const TIMEOUT_MS = 20;

describe("scheduleTimeout", () => {
    it("runs the action after its timeout", async () => {
        const startMs = performance.now();
        await new Promise<void>(resolve => scheduleTimeout(resolve, TIMEOUT_MS));
        // Timers may fire up to a millisecond early.
        expect(performance.now() - startMs).toBeGreaterThan(TIMEOUT_MS - 2);
    });

    describe("when the event loop stalls before the timeout", () => {
        it("leaves time for an answer that needs two more turns of the loop to cancel the action", async () => {
            let hasRun = false;
            const timeoutMs = TIMEOUT_MS * 10;
            const cancelTimeout = scheduleTimeout(() => {
                hasRun = true;
            }, timeoutMs);
            stopEventLoop(timeoutMs * 2);
            await new Promise<void>(resolve => setTimeout(resolve, 0));
            await new Promise<void>(resolve => setTimeout(resolve, TIMEOUT_MS));
            cancelTimeout();
            await new Promise<void>(resolve => setTimeout(resolve, timeoutMs * 2));
            expect(hasRun).toBe(false);
        });

        it("still runs the action if no answer comes", async () => {
            const startMs = performance.now();
            const done = new Promise<void>(resolve => scheduleTimeout(resolve, TIMEOUT_MS));
            stopEventLoop(TIMEOUT_MS * 4);
            await done;
            expect(performance.now() - startMs).toBeGreaterThan(TIMEOUT_MS * 5 - 2);
        });
    });

    describe("when it is cancelled after the timer fired and before the action runs", () => {
        it("doesn't run the action", async () => {
            let hasRun = false;
            const cancelTimeout = scheduleTimeout(() => {
                hasRun = true;
            }, TIMEOUT_MS);
            const due = new Promise<void>(resolve => setTimeout(resolve, TIMEOUT_MS));
            // Both timers are due after this stall, so they fire in the same turn of the loop, in order of creation.
            stopEventLoop(TIMEOUT_MS + 5);
            await due;
            cancelTimeout();
            await new Promise<void>(resolve => setTimeout(resolve, TIMEOUT_MS));
            expect(hasRun).toBe(false);
        });
    });
});
