import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import { LearnedEstimates } from "./learnedEstimates.js";

// Guards against a successor that copies nothing until it has learned the spread again.
describe("Learned estimates", () => {
    it("restore the spread of durations", () => {
        const estimates = new LearnedEstimates();
        const spec = createStep({ estimateMs: 1000 });
        for (let index = 0; index < 100; index++) {
            estimates.durations.learnSpread("queue", spec, index % 20 === 0 ? 7000 : 1000);
        }
        const restored = new LearnedEstimates();
        restored.restoreState(estimates.encodeState());
        expect(restored.durations.estimateRemaining("queue", spec, 1500)).toBeGreaterThan(4000);
    });
});
