import { describe, expect, it } from "@jest/globals";
import { AnswerTimeout } from "./answerTimeout.js";

const BOUNDS = { leastMs: 100, mostMs: 1000 };

/** Calls until an answer comes; returns how long that took in all. */
function callOnce(timeout: AnswerTimeout, answerMs: number, lost: number): number {
    let tookMs = 0;
    for (let tries = 0;; tries++) {
        const waitMs = timeout.currentMs;
        if (tries >= lost && answerMs <= waitMs) {
            timeout.noteAnswer(answerMs);
            return tookMs + answerMs;
        }
        timeout.noteSilence();
        tookMs += waitMs;
    }
}

describe("AnswerTimeout", () => {
    describe("when answers are quick and some are lost", () => {
        it("sends again soon", () => {
            const timeout = new AnswerTimeout(BOUNDS);
            callOnce(timeout, 5, 0);
            expect(callOnce(timeout, 5, 1)).toBe(105);
            expect(callOnce(timeout, 5, 2)).toBe(305);
        });
    });

    describe("when the store turns slow", () => {
        it("waits long enough for the second or third call, and then for each", () => {
            const timeout = new AnswerTimeout(BOUNDS);
            for (let call = 0; call < 20; call++) {
                callOnce(timeout, 5, 0);
            }
            expect(callOnce(timeout, 300, 0)).toBe(100 + 200 + 300);
            for (let call = 0; call < 5; call++) {
                callOnce(timeout, 300, 0);
            }
            expect(callOnce(timeout, 300, 0)).toBe(300);
        });
    });

    describe("when nothing answers", () => {
        it("never waits longer than its bound", () => {
            const timeout = new AnswerTimeout(BOUNDS);
            for (let call = 0; call < 20; call++) {
                timeout.noteSilence();
            }
            expect(timeout.currentMs).toBe(1000);
            timeout.noteAnswer(5);
            expect(timeout.currentMs).toBe(100);
        });
    });
});
