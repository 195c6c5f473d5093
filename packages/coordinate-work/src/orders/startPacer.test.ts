import { describe, expect, it } from "@jest/globals";
import { limits } from "../limits.js";
import { SingleThreadClock } from "../testing/singleThreadClock.js";
import { StartPacer } from "./startPacer.js";

const SENDING_MS = 5;
const ORDERS = 200;

function sendMany(loop: SingleThreadClock, sent: number[], loopDelayMs = 0): StartPacer {
    const pacer = new StartPacer(loop, () => loopDelayMs);
    for (let order = 0; order < ORDERS; order++) {
        pacer.add(() => {
            loop.run(SENDING_MS);
            sent.push(order);
        });
    }
    return pacer;
}

describe("StartPacer", () => {
    describe("when sending the starts of one round takes a second", () => {
        it("delays a renewal only by a few starts", () => {
            const loop = new SingleThreadClock();
            sendMany(loop, []);
            const renewedAtMs: number[] = [];
            const renew = () => {
                renewedAtMs.push(loop.getNow());
                loop.schedule(100, renew);
            };
            loop.schedule(100, renew);
            loop.runUntil(1000);
            const latest = renewedAtMs.map((atMs, index) => atMs - (renewedAtMs[index - 1] ?? 0) - 100);
            expect(Math.max(...latest)).toBeLessThanOrEqual(limits.startBatchMs + SENDING_MS);
        });

        it.each([
            { loop: "isn't overloaded", loopDelayMs: 0, share: 1 },
            { loop: "is overloaded", loopDelayMs: limits.busyLoopDelayMs * 2, share: 0.5 },
        ])("sends all starts in order, and takes a share of $share of a loop that $loop", ({ loopDelayMs, share }) => {
            const loop = new SingleThreadClock();
            const sent: number[] = [];
            const pacer = sendMany(loop, sent, loopDelayMs);
            loop.runUntil(ORDERS * SENDING_MS / share / 2);
            expect(sent.length).toBeGreaterThan(ORDERS * 0.4);
            expect(pacer.waitingCount).toBeGreaterThan(ORDERS * 0.4);
            loop.runUntil(ORDERS * SENDING_MS / share);
            expect(sent).toEqual(Array.from({ length: ORDERS }, (_unused, order) => order));
            expect(pacer.waitingCount).toBe(0);
        });
    });

    describe("when sending takes no time", () => {
        it("sends all starts in one batch", () => {
            const loop = new SingleThreadClock();
            const sent: number[] = [];
            const pacer = new StartPacer(loop, () => 0);
            for (let order = 0; order < ORDERS; order++) {
                pacer.add(() => sent.push(order));
            }
            loop.runUntil(1);
            expect(sent.length).toBe(ORDERS);
        });
    });
});
