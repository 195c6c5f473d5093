import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import type { StartRules, StepDemand } from "@sardinestage/plan-starts";
import { describeSpeed } from "./describeSpeed.js";

const rules = {
    speeds: { worstSlowness: 1.5, uneven: new Map([["w0", { slowness: 1.5, isCold: false }]]) },
} as unknown as StartRules;

function createDemand(maxSlowness: number): StepDemand {
    return { step: { spec: createStep() }, maxSlowness, lateSlackMs: 1 } as unknown as StepDemand;
}

describe("The speed of a worker is named as a reason", () => {
    it("why a slow worker was taken", () => {
        expect(describeSpeed("w0", createDemand(1), rules)).toEqual([
            "recent tasks took 1.5 times as long as expected there, as no better worker has room",
        ]);
        expect(describeSpeed("w0", createDemand(9), rules)).toEqual([
            "recent tasks took 1.5 times as long as expected there, which the job's slack allows",
        ]);
    });

    it("why a fast worker was taken, only for jobs with little slack", () => {
        expect(describeSpeed("w1", createDemand(1), rules)).toHaveLength(1);
        expect(describeSpeed("w1", createDemand(9), rules)).toEqual([]);
    });
});
