import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import type { StepDemand } from "@sardinestage/plan-starts";
import { Job, openOccurrence } from "@sardinestage/track-jobs";
import { limits } from "./limits.js";
import { RoundScope } from "./roundScope.js";
import { createQueue } from "./testing/createQueue.js";

const LONGEST_MS = 30;
const STEP_MS = 1;
const spec: JobSpec = { payload: "", steps: [createStep()], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
const lasting: JobSpec = { ...spec, steps: [createStep({ longRunning: true })] };

function createDemand(id: string, priority: number, of = spec): StepDemand {
    const job = new Job(id, of, createQueue({ priority }), 0);
    openOccurrence(job, 0);
    const step = [...job.open.values()][0].steps[0];
    const times = { remainingMs: 0, waitedMs: 0, slackMs: 0, lateSlackMs: 0 };
    return { step, waiting: step.tasks, isStarted: false, ...times };
}

/** Runs rounds over demands that find no room; a round takes its time for each. */
function runRounds(scope: RoundScope, demands: readonly StepDemand[], rounds: number): readonly StepDemand[][] {
    return Array.from({ length: rounds }, () => {
        const looked = scope.takeDemands(demands);
        scope.noteRound(looked.length, looked.length * STEP_MS);
        return [...looked];
    });
}

describe("RoundScope", () => {
    const flood = Array.from({ length: 1000 }, (_unused, index) => createDemand(`flood${index}`, 1));

    describe("when more waits than a round has time for", () => {
        it("lets no round but the first go past its limit", () => {
            const [, ...later] = runRounds(new RoundScope(LONGEST_MS), flood, 100);
            expect(Math.max(...later.map(looked => looked.length * STEP_MS))).toBeLessThanOrEqual(LONGEST_MS);
        });

        it("still uses most of its limit", () => {
            const [, ...later] = runRounds(new RoundScope(LONGEST_MS), flood, 100);
            expect(Math.min(...later.map(looked => looked.length * STEP_MS))).toBeGreaterThan(LONGEST_MS / 2);
        });

        it("looks at everything within a few rounds", () => {
            const seen = new Set(runRounds(new RoundScope(LONGEST_MS), flood, 100).flat());
            expect(seen.size).toBe(flood.length);
        });

        it("looks at urgent work at once, however much was left over", () => {
            const scope = new RoundScope(LONGEST_MS);
            runRounds(scope, flood, 10);
            const urgent = createDemand("urgent", 0);
            expect(scope.takeDemands([...flood, urgent])).toContain(urgent);
        });

        it("looks at everything although urgent work that finds no room stays first", () => {
            const urgent = Array.from({ length: 100 }, (_unused, index) => createDemand(`urgent${index}`, 0));
            const seen = new Set(runRounds(new RoundScope(LONGEST_MS), [...urgent, ...flood], 100).flat());
            expect(flood.filter(demand => !seen.has(demand))).toEqual([]);
        });
    });

    describe("when long-running tasks were interrupted while a flood waits", () => {
        const interrupted = Array.from({ length: 40 }, (_unused, index) => {
            const demand = createDemand(`interrupted${index}`, 1, lasting);
            demand.step.tasks[0].run = 1;
            return demand;
        });

        it("looks at each of them within 1 s, although none finds room", () => {
            const scope = new RoundScope(LONGEST_MS);
            runRounds(scope, flood, 10);
            const rounds = Math.floor(1000 * limits.maxRoundShare / LONGEST_MS);
            const seen = new Set(runRounds(scope, [...flood, ...interrupted], rounds).flat());
            expect(interrupted.filter(demand => !seen.has(demand))).toEqual([]);
        });

        it("still looks at everything else within a few rounds", () => {
            const seen = new Set(runRounds(new RoundScope(LONGEST_MS), [...flood, ...interrupted], 160).flat());
            expect(flood.filter(demand => !seen.has(demand))).toEqual([]);
        });

        it("looks at a step for which room was made in each round, so that its room is kept", () => {
            const scope = new RoundScope(LONGEST_MS);
            runRounds(scope, flood, 10);
            const promised = { ...createDemand("promised", 2), promised: ["w"] };
            const rounds = runRounds(scope, [...flood, promised], 10);
            expect(rounds.filter(looked => !looked.includes(promised))).toEqual([]);
        });
    });

    describe("when there is time for all", () => {
        it("comes to look at everything in each round", () => {
            const scope = new RoundScope(LONGEST_MS);
            for (let round = 0; round < 10; round++) {
                scope.noteRound(scope.takeDemands(flood).length, 1);
            }
            expect(scope.takeDemands(flood)).toHaveLength(flood.length);
        });
    });
});
