import { describe, expect, it } from "@jest/globals";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { PaceState } from "./paceState.js";
import { planPace } from "./planPace.js";

const RULES = {
    settleMs: 600,
    pauseAfterMs: 600,
    pauseAllAfterMs: 1600,
    stopAfterMs: 2400,
    minIncreasePercent: 30,
    increaseDelayMs: 1200,
};
const INITIAL_STATE: PaceState = { overSinceMs: undefined, noIncreaseUntilMs: 0 };

/** Sets a new pace for every change, however small, as a baseline to compare `planPace` with. */
const planEveryChange: typeof planPace<number> = (servingTasks, bestEffortTasks, state, nowMs, rules) => {
    // A paused task may go to any pace, so this plan gives the highest pace that each task may have.
    const pausedTasks = bestEffortTasks.map(task => ({ ...task, percent: 0 }));
    const plan = planPace(servingTasks, pausedTasks, { ...state, noIncreaseUntilMs: -Infinity }, nowMs, rules);
    const percents = new Map(bestEffortTasks.map(({ key, percent }) => {
        const allowed = plan.percents.get(key) ?? 0;
        return [key, allowed < percent || nowMs >= state.noIncreaseUntilMs ? allowed : percent];
    }));
    const noIncreaseUntilMs = Math.max(plan.state.noIncreaseUntilMs, state.noIncreaseUntilMs);
    return { ...plan, percents, state: { ...plan.state, noIncreaseUntilMs } };
};

describe("planPace", () => {
    describe("when serving tasks have headroom", () => {
        it("lets best-effort tasks run at full speed", () => {
            const plan = planPace(
                [{ headroom: 2.6, aloneHeadroom: 3 }],
                [{ key: "f", interference: [0.4], percent: 100, pacedAtMs: -Infinity }],
                INITIAL_STATE,
                0,
                RULES,
            );
            expect(plan.percents.get("f")).toBe(100);
        });
    });

    describe("when a serving task comes close to its target", () => {
        it("throttles the task that takes most of its headroom, and leaves the harmless one alone", () => {
            const bestEffortTasks = [
                { key: "harmful", interference: [2], percent: 100, pacedAtMs: -Infinity },
                { key: "harmless", interference: [0.01], percent: 100, pacedAtMs: -Infinity },
            ];
            const plan = planPace([{ headroom: 0.9, aloneHeadroom: 2.91 }], bestEffortTasks, INITIAL_STATE, 0, RULES);
            expect(plan.percents.get("harmless")).toBe(100);
            expect(plan.percents.get("harmful")).toBeLessThanOrEqual(80);
            expect(plan.percents.get("harmful")).toBeGreaterThan(0);
        });

        it("gives the remaining headroom to the task that interferes least first", () => {
            const bestEffortTasks = [
                { key: "worse", interference: [1.5], percent: 0, pacedAtMs: -Infinity },
                { key: "milder", interference: [0.3], percent: 0, pacedAtMs: -Infinity },
            ];
            const plan = planPace([{ headroom: 1.6, aloneHeadroom: 1.6 }], bestEffortTasks, INITIAL_STATE, 0, RULES);
            expect(plan.percents.get("milder")).toBe(100);
            expect(plan.percents.get("worse")).toBeLessThan(20);
        });
    });

    describe("when a serving task stays over its target", () => {
        const bestEffortTasks = [{ key: "harmful", interference: [0.5], percent: 100, pacedAtMs: -Infinity }, {
            key: "mild",
            interference: [0.02],
            percent: 100,
            pacedAtMs: -Infinity,
        }];

        it("pauses the tasks that interfere first", () => {
            const plan = planPace(
                [{ headroom: 0.8, aloneHeadroom: 1.32 }],
                bestEffortTasks,
                { overSinceMs: 0, noIncreaseUntilMs: 0 },
                700,
                RULES,
            );
            expect([...plan.percents.values()]).toEqual(expect.arrayContaining([0, 100]));
            expect(plan.percents.get("harmful")).toBe(0);
        });

        it("pauses all tasks after that and then stops them, well within the time that they may interfere", () => {
            const state = { overSinceMs: 0, noIncreaseUntilMs: 0 };
            const paused = planPace([{ headroom: 0.8, aloneHeadroom: 1.32 }], bestEffortTasks, state, 1700, RULES);
            expect([...paused.percents.values()]).toEqual([0, 0]);
            expect(paused.mustStop).toBe(false);
            expect(planPace([{ headroom: 0.8, aloneHeadroom: 1.32 }], bestEffortTasks, state, 2500, RULES).mustStop)
                .toBe(true);
        });
    });

    describe("when all tasks have just been paused", () => {
        it("speeds none up until the measurements show the effect", () => {
            const bestEffortTasks = [{ key: "f", interference: [1], percent: 20, pacedAtMs: -Infinity }];
            const state = { overSinceMs: undefined, noIncreaseUntilMs: 1000 };
            expect(
                planPace([{ headroom: 3, aloneHeadroom: 3.2 }], bestEffortTasks, state, 500, RULES).percents.get("f"),
            ).toBe(
                20,
            );
            expect(
                planPace([{ headroom: 3, aloneHeadroom: 3.2 }], bestEffortTasks, state, 1000, RULES).percents.get("f"),
            ).toBe(
                100,
            );
        });
    });

    describe("when headroom varies around the target headroom", () => {
        function planOne(aloneHeadroom: number, percent: number, pacedAtMs: number): number | undefined {
            const bestEffortTasks = [{ key: "f", interference: [1], percent, pacedAtMs }];
            return planPace([{ headroom: 2, aloneHeadroom }], bestEffortTasks, INITIAL_STATE, 10_000, RULES).percents
                .get("f");
        }

        it("throttles at once below the throttle headroom, and not before", () => {
            expect(planOne(1.95, 80, 10_000)).toBe(80);
            expect(planOne(1.93, 80, 10_000)).toBe(70);
        });

        it("speeds up only by a step that is worth a call, and sooner for a larger step", () => {
            expect(planOne(1.65, 20, -Infinity)).toBe(20);
            expect(planOne(1.75, 20, -Infinity)).toBe(50);
            expect(planOne(1.75, 20, 10_000 - 3900)).toBe(20);
            expect(planOne(1.75, 20, 10_000 - 4000)).toBe(50);
            expect(planOne(2.3, 0, 10_000 - 1100)).toBe(0);
            expect(planOne(2.3, 0, 10_000 - 1200)).toBe(100);
        });
    });

    describe("when load varies and measurements are noisy", () => {
        const EVERY_STEP = { ...RULES, minIncreasePercent: 10, increaseDelayMs: 0 };
        const CHECK_MS = 400;
        const PACE_MS = 100;
        const TICK_MS = 50;
        const MEASUREMENT_TICKS = 10;
        const INTERFERENCE = [[0.25, 0.2], [0.4, 0.3], [0.6, 0.4], [0.8, 0.6]];

        /** Simulates ten minutes of a worker with two serving and four best-effort tasks. */
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
            const ordered = INTERFERENCE.map(() => ({ percent: 100, before: 100, atMs: 0 }));
            const headroomHistory: number[][] = [];
            let state: PaceState = INITIAL_STATE;
            let overTicks = 0;
            let ticks = 0;
            let orders = 0;
            let drift = 0;
            for (let nowMs = 0; nowMs < 600_000; nowMs += TICK_MS) {
                drift = drift * 0.995 + createNoise() * 0.05;
                const alone = [0, 1].map(servingIndex => mean + drift + swing * Math.sin(nowMs / 1000 + servingIndex));
                const headrooms = alone.map((headroom, servingIndex) =>
                    ordered.reduce((left, { percent, before, atMs }, index) => {
                        const pace = nowMs - atMs >= PACE_MS ? percent : before;
                        return left - INTERFERENCE[index][servingIndex] * pace / 100;
                    }, headroom)
                );
                ticks++;
                overTicks += headrooms.some(headroom => headroom < 1) ? 1 : 0;
                headroomHistory.push(headrooms);
                if (nowMs % CHECK_MS !== 0) {
                    continue;
                }
                const recent = headroomHistory.slice(-MEASUREMENT_TICKS);
                const servingTasks = alone.map((headroom, servingIndex) => ({
                    headroom: recent.reduce((sum, each) => sum + each[servingIndex], 0) / recent.length
                        + createNoise() * 0.2,
                    aloneHeadroom: headroom + createNoise() * 0.2,
                }));
                const bestEffortTasks = ordered.map(({ percent, atMs }, key) => ({
                    key,
                    interference: INTERFERENCE[key],
                    percent,
                    pacedAtMs: atMs,
                }));
                const decided = plan(servingTasks, bestEffortTasks, state, nowMs, rules);
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
            "halves the pace orders without more time over target (headroom %d, swing %d)",
            (mean, swing) => {
                for (const seed of [1, 2, 3]) {
                    const baseline = runWorker(seed, mean, swing, planEveryChange, EVERY_STEP);
                    const damped = runWorker(seed, mean, swing, planPace, RULES);
                    expect(damped.overShare).toBeLessThanOrEqual(baseline.overShare);
                    expect(damped.orders).toBeLessThanOrEqual(baseline.orders / 2);
                }
            },
        );
    });
});
