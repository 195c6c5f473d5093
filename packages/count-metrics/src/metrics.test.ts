import { describe, expect, it } from "@jest/globals";
import { Metrics } from "./metrics.js";

describe("Metrics", () => {
    describe("when durations are recorded", () => {
        it("reports their percentiles within the histogram's precision", () => {
            const metrics = new Metrics();
            for (let i = 1; i <= 100; i++) {
                metrics.recordDuration("request", i);
            }
            expect(metrics.readPercentile("request", 50)).toBeCloseTo(50, 0);
            expect(metrics.readPercentile("request", 99)).toBeCloseTo(99, 0);
        });
    });

    describe("when a refusal is counted", () => {
        it("writes the reason as a label", async () => {
            const metrics = new Metrics();
            metrics.count("refusals_total", "queue-full");
            metrics.count("refusals_total", "queue-full", 2);
            expect(await metrics.writeText()).toContain("refusals_total{reason=\"queue-full\"} 3");
        });
    });
});
