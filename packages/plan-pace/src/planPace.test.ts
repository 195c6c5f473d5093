import { describe, expect, it } from "@jest/globals";
import { planPace } from "./planPace.js";

const RULES = { settleMs: 600, haltAfterMs: 600, haltAllAfterMs: 1600, stopAfterMs: 2400 };
const CALM = { overSinceMs: undefined, heldUntilMs: 0 };

describe("planPace", () => {
    describe("when serving tasks have headroom", () => {
        it("lets filling tasks work at full speed", () => {
            const plan = planPace(
                [{ headroom: 2.6, aloneHeadroom: 3 }],
                [{ key: "f", harms: [0.4], percent: 100 }],
                CALM,
                0,
                RULES,
            );
            expect(plan.percents.get("f")).toBe(100);
        });
    });

    describe("when a serving task comes close to its target", () => {
        it("slows what takes most of its headroom, and leaves the harmless alone", () => {
            const fillers = [
                { key: "harmful", harms: [2], percent: 100 },
                { key: "harmless", harms: [0.01], percent: 100 },
            ];
            const plan = planPace([{ headroom: 0.9, aloneHeadroom: 2.91 }], fillers, CALM, 0, RULES);
            expect(plan.percents.get("harmless")).toBe(100);
            expect(plan.percents.get("harmful")).toBeLessThanOrEqual(80);
            expect(plan.percents.get("harmful")).toBeGreaterThan(0);
        });

        it("gives what is left to the mildest first", () => {
            const fillers = [
                { key: "worse", harms: [1.5], percent: 0 },
                { key: "milder", harms: [0.3], percent: 0 },
            ];
            const plan = planPace([{ headroom: 1.6, aloneHeadroom: 1.6 }], fillers, CALM, 0, RULES);
            expect(plan.percents.get("milder")).toBe(100);
            expect(plan.percents.get("worse")).toBeLessThan(20);
        });
    });

    describe("when a serving task stays over its target", () => {
        const fillers = [{ key: "harmful", harms: [0.5], percent: 100 }, { key: "mild", harms: [0.02], percent: 100 }];

        it("halts what does harm first", () => {
            const plan = planPace(
                [{ headroom: 0.8, aloneHeadroom: 1.32 }],
                fillers,
                { overSinceMs: 0, heldUntilMs: 0 },
                700,
                RULES,
            );
            expect([...plan.percents.values()]).toEqual(expect.arrayContaining([0, 100]));
            expect(plan.percents.get("harmful")).toBe(0);
        });

        it("halts everything after that, and then stops it, well before harm counts", () => {
            const state = { overSinceMs: 0, heldUntilMs: 0 };
            const halted = planPace([{ headroom: 0.8, aloneHeadroom: 1.32 }], fillers, state, 1700, RULES);
            expect([...halted.percents.values()]).toEqual([0, 0]);
            expect(halted.mustStop).toBe(false);
            expect(planPace([{ headroom: 0.8, aloneHeadroom: 1.32 }], fillers, state, 2500, RULES).mustStop).toBe(true);
        });
    });

    describe("when everything has just been halted", () => {
        it("raises none until the figures show what that did", () => {
            const fillers = [{ key: "f", harms: [1], percent: 20 }];
            const state = { overSinceMs: undefined, heldUntilMs: 1000 };
            expect(planPace([{ headroom: 3, aloneHeadroom: 3.2 }], fillers, state, 500, RULES).percents.get("f")).toBe(
                20,
            );
            expect(planPace([{ headroom: 3, aloneHeadroom: 3.2 }], fillers, state, 1000, RULES).percents.get("f")).toBe(
                100,
            );
        });
    });
});
