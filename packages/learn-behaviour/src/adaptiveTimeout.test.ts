import { describe, expect, it } from "@jest/globals";
import { AdaptiveTimeout } from "./adaptiveTimeout.js";

const BOUNDS = { leastMs: 100, mostMs: 1000 };

/** Retries until an answer arrives, after `lost` lost answers; returns the total time, in milliseconds. */
function callUntilAnswered(timeout: AdaptiveTimeout, answerMs: number, lost: number): number {
    let tookMs = 0;
    for (let tries = 0;; tries++) {
        const waitMs = timeout.currentMs;
        if (tries >= lost && answerMs <= waitMs) {
            timeout.noteAnswer(answerMs);
            return tookMs + answerMs;
        }
        timeout.noteTimeout();
        tookMs += waitMs;
    }
}

describe("AdaptiveTimeout", () => {
    describe("when answers are fast and some are lost", () => {
        it("times out soon, so that the call is soon retried", () => {
            const timeout = new AdaptiveTimeout(BOUNDS);
            callUntilAnswered(timeout, 5, 0);
            expect(callUntilAnswered(timeout, 5, 1)).toBe(105);
            expect(callUntilAnswered(timeout, 5, 2)).toBe(305);
        });
    });

    describe("when the store becomes slow", () => {
        it("waits long enough from the second or third try, and later from the first", () => {
            const timeout = new AdaptiveTimeout(BOUNDS);
            for (let call = 0; call < 20; call++) {
                callUntilAnswered(timeout, 5, 0);
            }
            expect(callUntilAnswered(timeout, 300, 0)).toBe(100 + 200 + 300);
            for (let call = 0; call < 5; call++) {
                callUntilAnswered(timeout, 300, 0);
            }
            expect(callUntilAnswered(timeout, 300, 0)).toBe(300);
        });
    });

    describe("when nothing answers", () => {
        it("never waits longer than its upper bound", () => {
            const timeout = new AdaptiveTimeout(BOUNDS);
            for (let call = 0; call < 20; call++) {
                timeout.noteTimeout();
            }
            expect(timeout.currentMs).toBe(1000);
            timeout.noteAnswer(5);
            expect(timeout.currentMs).toBe(100);
        });
    });
});
