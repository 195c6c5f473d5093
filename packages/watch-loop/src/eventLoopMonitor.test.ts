import { describe, expect, it } from "@jest/globals";
import type { Clock } from "@sardinestage/describe-ports";
import { EventLoopMonitor } from "./eventLoopMonitor.js";

/** Creates a monitor on a simulated event loop, whose clock and timers advance only when the test says so. */
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
    const monitor = new EventLoopMonitor(clock);
    monitor.start();
    return { monitor, runSmoothly, stall };
}

describe("EventLoopMonitor", () => {
    describe("while the event loop is responsive", () => {
        it("counts the whole time", () => {
            const { monitor, runSmoothly } = createLoop();
            runSmoothly(1030);
            expect(monitor.getResponsiveTime()).toBe(1030);
            expect(monitor.takeLongestDelay()).toBe(0);
        });
    });

    describe("when the event loop stalls", () => {
        it("doesn't count the stalled time beyond the tolerated delay", () => {
            const { monitor, runSmoothly, stall } = createLoop();
            runSmoothly(500);
            stall(3000);
            expect(monitor.getResponsiveTime()).toBe(700);
            runSmoothly(500);
            expect(monitor.getResponsiveTime()).toBe(1200);
        });

        it("averages the delay of its timer, and lets the average fall after the stalls", () => {
            const { monitor, runSmoothly, stall } = createLoop();
            for (let turn = 0; turn < 50; turn++) {
                runSmoothly(50);
                stall(200);
                runSmoothly(0);
            }
            expect(monitor.averageDelayMs).toBeGreaterThan(100);
            runSmoothly(10_000);
            expect(monitor.averageDelayMs).toBeLessThan(1);
        });

        it("reports the longest delay once", () => {
            const { monitor, runSmoothly, stall } = createLoop();
            runSmoothly(500);
            stall(3000);
            runSmoothly(100);
            expect(monitor.takeLongestDelay()).toBe(2900);
            expect(monitor.takeLongestDelay()).toBe(0);
        });
    });
});
