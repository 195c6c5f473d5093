import { describe, expect, it } from "@jest/globals";
import { WorkerSlowness } from "./workerSlowness.js";

const SLOW_RATIO = 8;

// Guards against workers that stay shunned after they are fast again, or because of one task in the tail.
describe("The slowness of a worker", () => {
    it("is noticed after two slow runs, not after one, and forgotten within seconds", () => {
        const slowness = new WorkerSlowness();
        expect(slowness.estimateSlowness(0)).toBe(1);
        slowness.learnRatio(SLOW_RATIO, 0);
        expect(slowness.estimateSlowness(0)).toBeLessThan(2.1);
        slowness.learnRatio(SLOW_RATIO, 100);
        expect(slowness.estimateSlowness(100)).toBeGreaterThan(2.5);
        expect(slowness.estimateSlowness(15_000)).toBeLessThan(1.5);
    });
});
