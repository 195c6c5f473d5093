import { describe, expect, it } from "@jest/globals";
import type { Clock } from "@sardinestage/describe-ports";
import { LoopWatch } from "./loopWatch.js";

/** A watch on a loop that turns, and whose timers fire, only when the test lets it. */
function createLoop() {
    let nowMs = 0;
    let waiting: { atMs: number; run: () => void } | undefined;
    const clock: Clock = {
        getNow: () => nowMs,
        getWallTime: () => nowMs,
        schedule: (delayMs, run) => {
            waiting = { atMs: nowMs + delayMs, run };
            return () => waiting = undefined;
        },
    };
    const runSmoothly = (lengthMs: number) => {
        const untilMs = nowMs + lengthMs;
        while (waiting !== undefined && waiting.atMs <= untilMs) {
            const { atMs, run } = waiting;
            waiting = undefined;
            nowMs = Math.max(nowMs, atMs);
            run();
        }
        nowMs = untilMs;
    };
    const stall = (lengthMs: number) => {
        nowMs += lengthMs;
    };
    const watch = new LoopWatch(clock);
    watch.start();
    return { watch, runSmoothly, stall };
}

describe("LoopWatch", () => {
    describe("while the loop turns", () => {
        it("counts all time", () => {
            const { watch, runSmoothly } = createLoop();
            runSmoothly(1030);
            expect(watch.getAttentiveTime()).toBe(1030);
            expect(watch.takeLongestDelay()).toBe(0);
        });
    });

    describe("when the loop stands still", () => {
        it("leaves that time out", () => {
            const { watch, runSmoothly, stall } = createLoop();
            runSmoothly(500);
            stall(3000);
            expect(watch.getAttentiveTime()).toBe(700);
            runSmoothly(500);
            expect(watch.getAttentiveTime()).toBe(1200);
        });

        it("tells how late its timers usually are", () => {
            const { watch, runSmoothly, stall } = createLoop();
            for (let turn = 0; turn < 50; turn++) {
                runSmoothly(50);
                stall(200);
                runSmoothly(0);
            }
            expect(watch.usualDelayMs).toBeGreaterThan(100);
            runSmoothly(10_000);
            expect(watch.usualDelayMs).toBeLessThan(1);
        });

        it("tells how late its timers were, once", () => {
            const { watch, runSmoothly, stall } = createLoop();
            runSmoothly(500);
            stall(3000);
            runSmoothly(100);
            expect(watch.takeLongestDelay()).toBe(2900);
            expect(watch.takeLongestDelay()).toBe(0);
        });
    });
});
