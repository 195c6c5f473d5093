import { describe, expect, it } from "@jest/globals";
import { HeadroomTrend } from "./headroomTrend.js";

const LOOK_MS = 250;
const SWING_MS = 14_000;

function computeSwing(atMs: number): number {
    return 2.5 + 1.1 * Math.sin(2 * Math.PI * atMs / SWING_MS);
}

describe("HeadroomTrend", () => {
    describe("when nothing was measured", () => {
        it("expects nothing", () => {
            expect(new HeadroomTrend().estimateHeadroom(0, 0)).toBeUndefined();
        });
    });

    describe("when the load swings and replicas are looked at in turn", () => {
        it("knows the headroom of now, and nearly that of a second later", () => {
            const trend = new HeadroomTrend();
            for (let atMs = 0; atMs <= 3 * SWING_MS; atMs += LOOK_MS) {
                trend.takeFigure(computeSwing(atMs), 1, atMs);
                if (atMs > SWING_MS) {
                    expect(Math.abs((trend.estimateHeadroom(atMs, 0) ?? 0) - computeSwing(atMs))).toBeLessThan(0.25);
                    const laterMs = atMs + 1000;
                    const later = trend.estimateHeadroom(laterMs, 0) ?? 0;
                    expect(Math.abs(later - computeSwing(laterMs))).toBeLessThan(0.6);
                }
            }
        });
    });

    describe("when one replica's figure is far off", () => {
        it("is hardly moved", () => {
            const trend = new HeadroomTrend();
            for (let atMs = 0; atMs <= 5000; atMs += LOOK_MS) {
                trend.takeFigure(2.5, 1, atMs);
            }
            trend.takeFigure(0.1, 1, 5250);
            expect(trend.estimateHeadroom(5250, 0)).toBeGreaterThan(2.1);
        });
    });

    describe("when the load rises towards the highest that is known", () => {
        it("expects no less headroom than that leaves", () => {
            const trend = new HeadroomTrend();
            for (let atMs = 0; atMs <= 2000; atMs += LOOK_MS) {
                trend.takeFigure(2.8 - atMs / 2000, 1, atMs);
            }
            expect(trend.estimateHeadroom(3500, 0)).toBeLessThan(1.5);
            expect(trend.estimateHeadroom(3500, 1.6)).toBe(1.6);
        });
    });

    describe("when figures stop", () => {
        it("doesn't follow the last change for ever", () => {
            const trend = new HeadroomTrend();
            for (let atMs = 0; atMs <= 3000; atMs += LOOK_MS) {
                trend.takeFigure(3 - atMs / 3000, 1, atMs);
            }
            expect(trend.estimateHeadroom(60_000, 0)).toBe(trend.estimateHeadroom(10_000, 0));
        });
    });
});
