import { describe, expect, it } from "@jest/globals";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { PaceState } from "./paceState.js";
import { planPace } from "./planPace.js";

const RULES = {
    settleMs: 600,
    haltAfterMs: 600,
    haltAllAfterMs: 1600,
    stopAfterMs: 2400,
    leastRisePercent: 30,
    riseWaitMs: 1200,
};
const CALM: PaceState = { overSinceMs: undefined, heldUntilMs: 0 };

/** Follows each wobble, as if every change were worth an order: for comparison. */
const planEachWobble: typeof planPace<number> = (servers, fillers, state, nowMs, rules) => {
    // From a standstill every rise is allowed, so that this is what may be worked at most.
    const atNone = fillers.map(filler => ({ ...filler, percent: 0 }));
    const plan = planPace(servers, atNone, { ...state, heldUntilMs: -Infinity }, nowMs, rules);
    const percents = new Map(fillers.map(({ key, percent }) => {
        const allowed = plan.percents.get(key) ?? 0;
        return [key, allowed < percent || nowMs >= state.heldUntilMs ? allowed : percent];
    }));
    const heldUntilMs = Math.max(plan.state.heldUntilMs, state.heldUntilMs);
    return { ...plan, percents, state: { ...plan.state, heldUntilMs } };
};

describe("planPace", () => {
    describe("when serving tasks have headroom", () => {
        it("lets filling tasks work at full speed", () => {
            const plan = planPace(
                [{ headroom: 2.6, aloneHeadroom: 3 }],
                [{ key: "f", harms: [0.4], percent: 100, pacedAtMs: -Infinity }],
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
                { key: "harmful", harms: [2], percent: 100, pacedAtMs: -Infinity },
                { key: "harmless", harms: [0.01], percent: 100, pacedAtMs: -Infinity },
            ];
            const plan = planPace([{ headroom: 0.9, aloneHeadroom: 2.91 }], fillers, CALM, 0, RULES);
            expect(plan.percents.get("harmless")).toBe(100);
            expect(plan.percents.get("harmful")).toBeLessThanOrEqual(80);
            expect(plan.percents.get("harmful")).toBeGreaterThan(0);
        });

        it("gives what is left to the mildest first", () => {
            const fillers = [
                { key: "worse", harms: [1.5], percent: 0, pacedAtMs: -Infinity },
                { key: "milder", harms: [0.3], percent: 0, pacedAtMs: -Infinity },
            ];
            const plan = planPace([{ headroom: 1.6, aloneHeadroom: 1.6 }], fillers, CALM, 0, RULES);
            expect(plan.percents.get("milder")).toBe(100);
            expect(plan.percents.get("worse")).toBeLessThan(20);
        });
    });

    describe("when a serving task stays over its target", () => {
        const fillers = [{ key: "harmful", harms: [0.5], percent: 100, pacedAtMs: -Infinity }, {
            key: "mild",
            harms: [0.02],
            percent: 100,
            pacedAtMs: -Infinity,
        }];

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
            const fillers = [{ key: "f", harms: [1], percent: 20, pacedAtMs: -Infinity }];
            const state = { overSinceMs: undefined, heldUntilMs: 1000 };
            expect(planPace([{ headroom: 3, aloneHeadroom: 3.2 }], fillers, state, 500, RULES).percents.get("f")).toBe(
                20,
            );
            expect(planPace([{ headroom: 3, aloneHeadroom: 3.2 }], fillers, state, 1000, RULES).percents.get("f")).toBe(
                100,
            );
        });
    });

    describe("when headroom wobbles about the aim", () => {
        function planOne(aloneHeadroom: number, percent: number, pacedAtMs: number): number | undefined {
            const fillers = [{ key: "f", harms: [1], percent, pacedAtMs }];
            return planPace([{ headroom: 2, aloneHeadroom }], fillers, CALM, 10_000, RULES).percents.get("f");
        }

        it("slows down at once where the aim is in danger, and not before", () => {
            expect(planOne(1.95, 80, 10_000)).toBe(80);
            expect(planOne(1.93, 80, 10_000)).toBe(70);
        });

        it("speeds up only by what is worth an order, the sooner the more that is", () => {
            expect(planOne(1.65, 20, -Infinity)).toBe(20);
            expect(planOne(1.75, 20, -Infinity)).toBe(50);
            expect(planOne(1.75, 20, 10_000 - 3900)).toBe(20);
            expect(planOne(1.75, 20, 10_000 - 4000)).toBe(50);
            expect(planOne(2.3, 0, 10_000 - 1100)).toBe(0);
            expect(planOne(2.3, 0, 10_000 - 1200)).toBe(100);
        });
    });

    describe("when load swings and figures are rough", () => {
        const EVERY_STEP = { ...RULES, leastRisePercent: 10, riseWaitMs: 0 };
        const LOOK_MS = 400;
        const PACE_MS = 100;
        const TICK_MS = 50;
        const FIGURE_TICKS = 10;
        const HARMS = [[0.25, 0.2], [0.4, 0.3], [0.6, 0.4], [0.8, 0.6]];

        /** What became of one worker with two serving and four filling tasks in ten minutes. */
        function runWorker(
            seed: number,
            mean: number,
            swing: number,
            plan: typeof planPace<number>,
            rules: typeof RULES,
        ) {
            const generator = xoroshiro128plus(seed);
            const random = () => (generator.next() >>> 0) / 2 ** 32;
            const createNoise = () => random() + random() + random() - 1.5;
            const ordered = HARMS.map(() => ({ percent: 100, before: 100, atMs: 0 }));
            const seen: number[][] = [];
            let state: PaceState = CALM;
            let overTicks = 0;
            let ticks = 0;
            let orders = 0;
            let drift = 0;
            for (let nowMs = 0; nowMs < 600_000; nowMs += TICK_MS) {
                drift = drift * 0.995 + createNoise() * 0.05;
                const alone = [0, 1].map(server => mean + drift + swing * Math.sin(nowMs / 1000 + server));
                const headrooms = alone.map((headroom, server) =>
                    ordered.reduce((left, { percent, before, atMs }, index) => {
                        const works = nowMs - atMs >= PACE_MS ? percent : before;
                        return left - HARMS[index][server] * works / 100;
                    }, headroom)
                );
                ticks++;
                overTicks += headrooms.some(headroom => headroom < 1) ? 1 : 0;
                seen.push(headrooms);
                if (nowMs % LOOK_MS !== 0) {
                    continue;
                }
                const recent = seen.slice(-FIGURE_TICKS);
                const servers = alone.map((headroom, server) => ({
                    headroom: recent.reduce((sum, each) => sum + each[server], 0) / recent.length + createNoise() * 0.2,
                    aloneHeadroom: headroom + createNoise() * 0.2,
                }));
                const fillers = ordered.map(({ percent, atMs }, key) => ({
                    key,
                    harms: HARMS[key],
                    percent,
                    pacedAtMs: atMs,
                }));
                const decided = plan(servers, fillers, state, nowMs, rules);
                ({ state } = decided);
                ordered.forEach((order, key) => {
                    const percent = decided.percents.get(key) ?? 100;
                    if (percent !== order.percent) {
                        orders++;
                        ordered[key] = { percent, before: order.percent, atMs: nowMs };
                    }
                });
            }
            return { overShare: overTicks / ticks, orders };
        }

        it.each([[2.2, 0.5], [2.6, 0.8], [3.2, 0.6]])(
            "halves the orders and keeps serving tasks as safe (headroom %d, swing %d)",
            (mean, swing) => {
                for (const seed of [1, 2, 3]) {
                    const wobbly = runWorker(seed, mean, swing, planEachWobble, EVERY_STEP);
                    const calm = runWorker(seed, mean, swing, planPace, RULES);
                    expect(calm.overShare).toBeLessThanOrEqual(wobbly.overShare);
                    expect(calm.orders).toBeLessThanOrEqual(wobbly.orders / 2);
                }
            },
        );
    });
});
