import { describe, expect, it } from "@jest/globals";
import { HeadroomTrend } from "./headroomTrend.js";

const SAMPLE_INTERVAL_MS = 250;
const LOAD_PERIOD_MS = 14_000;

function computeTrueHeadroom(atMs: number): number {
    return 2.5 + 1.1 * Math.sin(2 * Math.PI * atMs / LOAD_PERIOD_MS);
}

describe("HeadroomTrend", () => {
    describe("when nothing was measured", () => {
        it("returns no estimate", () => {
            expect(new HeadroomTrend().estimateHeadroom(0, 0)).toBeUndefined();
        });
    });

    describe("when the load varies and replicas are measured in turn", () => {
        it("estimates the current headroom, and roughly that of a second later", () => {
            const trend = new HeadroomTrend();
            for (let atMs = 0; atMs <= 3 * LOAD_PERIOD_MS; atMs += SAMPLE_INTERVAL_MS) {
                trend.addMeasurement(computeTrueHeadroom(atMs), 1, atMs);
                if (atMs > LOAD_PERIOD_MS) {
                    expect(Math.abs((trend.estimateHeadroom(atMs, 0) ?? 0) - computeTrueHeadroom(atMs))).toBeLessThan(
                        0.25,
                    );
                    const laterMs = atMs + 1000;
                    const later = trend.estimateHeadroom(laterMs, 0) ?? 0;
                    expect(Math.abs(later - computeTrueHeadroom(laterMs))).toBeLessThan(0.6);
                }
            }
        });
    });

    describe("when one replica's measurement is an outlier", () => {
        it("hardly changes its estimate", () => {
            const trend = new HeadroomTrend();
            for (let atMs = 0; atMs <= 5000; atMs += SAMPLE_INTERVAL_MS) {
                trend.addMeasurement(2.5, 1, atMs);
            }
            trend.addMeasurement(0.1, 1, 5250);
            expect(trend.estimateHeadroom(5250, 0)).toBeGreaterThan(2.1);
        });
    });

    describe("when the load rises towards its known maximum", () => {
        it("estimates no less than the lowest known headroom", () => {
            const trend = new HeadroomTrend();
            for (let atMs = 0; atMs <= 2000; atMs += SAMPLE_INTERVAL_MS) {
                trend.addMeasurement(2.8 - atMs / 2000, 1, atMs);
            }
            expect(trend.estimateHeadroom(3500, 0)).toBeLessThan(1.5);
            expect(trend.estimateHeadroom(3500, 1.6)).toBe(1.6);
        });
    });

    describe("when measurements stop", () => {
        it("doesn't extrapolate the last change for ever", () => {
            const trend = new HeadroomTrend();
            for (let atMs = 0; atMs <= 3000; atMs += SAMPLE_INTERVAL_MS) {
                trend.addMeasurement(3 - atMs / 3000, 1, atMs);
            }
            expect(trend.estimateHeadroom(60_000, 0)).toBe(trend.estimateHeadroom(10_000, 0));
        });
    });
});
