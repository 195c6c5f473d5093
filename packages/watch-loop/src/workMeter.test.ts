import { describe, expect, it } from "@jest/globals";
import type { Clock } from "@sardinestage/describe-ports";
import { MeteredWork } from "./meteredWork.js";
import { WorkMeter } from "./workMeter.js";

describe("WorkMeter", () => {
    describe("when one kind of work is measured within another", () => {
        it("counts the nested time only for the nested kind", () => {
            let nowMs = 0;
            const meter = new WorkMeter({ getNow: () => nowMs } as Clock);
            meter.measure(MeteredWork.Answers, () => {
                nowMs += 5;
                meter.measure(MeteredWork.Pace, () => nowMs += 20);
                nowMs += 5;
            });
            expect(meter.takeTimeSpent()).toEqual({ answersMs: 10, paceMs: 20 });
            expect(meter.takeTimeSpent()).toEqual({});
        });

        it("counts the time of work that throws", () => {
            let nowMs = 0;
            const meter = new WorkMeter({ getNow: () => nowMs } as Clock);
            const fail = () => {
                nowMs += 7;
                throw new Error("The work failed.");
            };
            expect(() => meter.measure(MeteredWork.Rounds, fail)).toThrow();
            expect(meter.takeTimeSpent()).toEqual({ roundsMs: 7 });
        });
    });
});
