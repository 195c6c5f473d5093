import { describe, expect, it } from "@jest/globals";
import type { Clock } from "@sardinestage/describe-ports";
import { WorkKind } from "./workKind.js";
import { WorkMeter } from "./workMeter.js";

describe("WorkMeter", () => {
    describe("when one kind of work is measured within another", () => {
        it("counts the nested time only for the nested kind", () => {
            let nowMs = 0;
            const meter = new WorkMeter({ getNow: () => nowMs } as Clock);
            meter.measure(WorkKind.Answers, () => {
                nowMs += 5;
                meter.measure(WorkKind.Pace, () => nowMs += 20);
                nowMs += 5;
            });
            expect(meter.takeSpent()).toEqual({ answersMs: 10, paceMs: 20 });
            expect(meter.takeSpent()).toEqual({});
        });

        it("counts the time of work that throws", () => {
            let nowMs = 0;
            const meter = new WorkMeter({ getNow: () => nowMs } as Clock);
            const fail = () => {
                nowMs += 7;
                throw new Error("The work failed.");
            };
            expect(() => meter.measure(WorkKind.Rounds, fail)).toThrow();
            expect(meter.takeSpent()).toEqual({ roundsMs: 7 });
        });
    });
});
