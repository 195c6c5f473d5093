import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import type { StepDemand } from "@sardinestage/plan-starts";
import { Job, openOccurrence } from "@sardinestage/track-jobs";
import { limits } from "../limits.js";
import { createQueue } from "../testing/createQueue.js";
import { DemandSelector } from "./demandSelector.js";

const MAX_ROUND_MS = 30;
const STEP_MS = 1;
const spec: JobSpec = { payload: "", steps: [createStep()], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
const longRunningSpec: JobSpec = { ...spec, steps: [createStep({ longRunning: true })] };

function createDemand(id: string, priority: number, jobSpec = spec): StepDemand {
    const job = new Job(id, jobSpec, createQueue({ priority }), 0);
    openOccurrence(job, 0);
    const step = [...job.openOccurrences.values()][0].steps[0];
    const times = { remainingMs: 0, waitedMs: 0, slackMs: 0, lateSlackMs: 0 };
    return { step, waiting: step.tasks, isStarted: false, ...times };
}

/** Runs rounds over demands that find no capacity; a round takes `STEP_MS` for each demand. */
function runRounds(selector: DemandSelector, demands: readonly StepDemand[], rounds: number): readonly StepDemand[][] {
    return Array.from({ length: rounds }, () => {
        const picked = selector.pickDemands(demands);
        selector.recordRound(picked.length, picked.length * STEP_MS);
        return [...picked];
    });
}

describe("DemandSelector", () => {
    const flood = Array.from({ length: 1000 }, (_unused, index) => createDemand(`flood${index}`, 1));

    describe("when more demands wait than a round has time for", () => {
        it("keeps all rounds but the first within the time limit", () => {
            const [, ...later] = runRounds(new DemandSelector(MAX_ROUND_MS), flood, 100);
            expect(Math.max(...later.map(picked => picked.length * STEP_MS))).toBeLessThanOrEqual(MAX_ROUND_MS);
        });

        it("uses more than half of the time limit", () => {
            const [, ...later] = runRounds(new DemandSelector(MAX_ROUND_MS), flood, 100);
            expect(Math.min(...later.map(picked => picked.length * STEP_MS))).toBeGreaterThan(MAX_ROUND_MS / 2);
        });

        it("picks every demand within 100 rounds", () => {
            const seen = new Set(runRounds(new DemandSelector(MAX_ROUND_MS), flood, 100).flat());
            expect(seen.size).toBe(flood.length);
        });

        it("picks an urgent demand at once, however many demands were skipped", () => {
            const selector = new DemandSelector(MAX_ROUND_MS);
            runRounds(selector, flood, 10);
            const urgent = createDemand("urgent", 0);
            expect(selector.pickDemands([...flood, urgent])).toContain(urgent);
        });

        it("picks every demand although urgent demands that find no capacity stay first", () => {
            const urgent = Array.from({ length: 100 }, (_unused, index) => createDemand(`urgent${index}`, 0));
            const seen = new Set(runRounds(new DemandSelector(MAX_ROUND_MS), [...urgent, ...flood], 100).flat());
            expect(flood.filter(demand => !seen.has(demand))).toEqual([]);
        });
    });

    describe("when long-running tasks are interrupted while a flood waits", () => {
        const interrupted = Array.from({ length: 40 }, (_unused, index) => {
            const demand = createDemand(`interrupted${index}`, 1, longRunningSpec);
            demand.step.tasks[0].run = 1;
            return demand;
        });

        it("picks each interrupted demand within 1 s, although none finds capacity", () => {
            const selector = new DemandSelector(MAX_ROUND_MS);
            runRounds(selector, flood, 10);
            const rounds = Math.floor(1000 * limits.maxRoundShare / MAX_ROUND_MS);
            const seen = new Set(runRounds(selector, [...flood, ...interrupted], rounds).flat());
            expect(interrupted.filter(demand => !seen.has(demand))).toEqual([]);
        });

        it("picks every other demand within 160 rounds", () => {
            const seen = new Set(runRounds(new DemandSelector(MAX_ROUND_MS), [...flood, ...interrupted], 160).flat());
            expect(flood.filter(demand => !seen.has(demand))).toEqual([]);
        });

        it("picks a step with reserved capacity in each round, so that the capacity is kept for it", () => {
            const selector = new DemandSelector(MAX_ROUND_MS);
            runRounds(selector, flood, 10);
            const reserved = { ...createDemand("reserved", 2), reservedWorkerIds: ["w"] };
            const rounds = runRounds(selector, [...flood, reserved], 10);
            expect(rounds.filter(picked => !picked.includes(reserved))).toEqual([]);
        });
    });

    describe("when rounds take 1 ms each", () => {
        it("increases the number of steps until a round handles all demands", () => {
            const selector = new DemandSelector(MAX_ROUND_MS);
            for (let round = 0; round < 10; round++) {
                selector.recordRound(selector.pickDemands(flood).length, 1);
            }
            expect(selector.pickDemands(flood)).toHaveLength(flood.length);
        });
    });
});
