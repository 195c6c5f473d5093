import { describe, expect, it } from "@jest/globals";
import { formatTaskKey } from "@sardinestage/describe-work";
import { TaskPhase } from "@sardinestage/track-jobs";
import { DisplacementPlanner } from "./displacementPlanner.js";
import { hasCapacity } from "./hasCapacity.js";
import { isAllowedOn } from "./isAllowedOn.js";
import { planStarts } from "./planStarts.js";
import type { StartPlan } from "./startPlan.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import { planPreemptionExhaustively } from "./testing/planPreemptionExhaustively.js";
import { planStartsExhaustively } from "./testing/planStartsExhaustively.js";
import { RandomFleet } from "./testing/randomFleet.js";
import type { WorkerRoom } from "./workerRoom.js";

/** Filling tasks that may wait go nowhere where serving tasks come closer to their targets than this. */
const MAX_LATENCY_RATIO = 0.88;
const SEEDS = Array.from({ length: 300 }, (_unused, index) => 20261204 + index);
const MAX_STARTS = [5, 60, 1000];
const MAX_WAITS_MS = [2000, Infinity];

function buildRules(fleet: RandomFleet, seed: number) {
    return {
        maxStarts: MAX_STARTS[seed % MAX_STARTS.length],
        longestWaitMs: MAX_WAITS_MS[seed % MAX_WAITS_MS.length],
        isAdvised: fleet.isAdvised.bind(fleet),
        describePlace: fleet.describePlacement.bind(fleet),
    };
}

function describePlan(plan: StartPlan): string[] {
    return [
        ...plan.starts.map(start => `${formatTaskKey(start.task.ref)} on ${start.workerId}`),
        ...plan.unmet.map(demand => `${demand.step.occurrence.job.id} unmet`),
    ];
}

function describeCapacity(room: WorkerRoom) {
    const { workerId, freeCpuMillis, freeMemoryMb, freeAccelerators, fillCpuMillis, startsLeft } = room;
    const counts = { servers: room.servers.length, fillers: room.fillers.length };
    return { workerId, freeCpuMillis, freeMemoryMb, freeAccelerators, fillCpuMillis, startsLeft, ...counts };
}

describe("planStarts on random fleets", () => {
    describe("when rooms are judged once for all that is alike", () => {
        it("plans the same as judging every room again for every task", () => {
            for (const seed of SEEDS) {
                const [fleet, reference] = [new RandomFleet(seed), new RandomFleet(seed)];
                const plan = describePlan(planStarts(fleet.demands, fleet.workers, buildRules(fleet, seed)));
                const expected = describePlan(
                    planStartsExhaustively(reference.demands, reference.workers, buildRules(reference, seed)),
                );
                expect({ seed, plan }).toEqual({ seed, plan: expected });
                expect(fleet.workers.map(describeCapacity)).toEqual(reference.workers.map(describeCapacity));
            }
        });
    });
});

/** Whether a task that the round left waiting could go to a room as the round left it. */
function isOverlooked(demand: StepDemand, room: WorkerRoom, plan: StartPlan, fleet: RandomFleet, rules: StartRules) {
    const { step } = demand;
    const { maxTasksPerWorker } = step.spec;
    const placed = new Set(plan.starts.filter(start => start.workerId === room.workerId).map(start => start.task));
    const there = step.tasks.filter(task =>
        placed.has(task) || (task.phase === TaskPhase.Running && task.workerId === room.workerId)
    );
    const isPatient = step.spec.fillsLeftover && demand.waitedMs < rules.longestWaitMs;
    return isAllowedOn(step, room) && hasCapacity(room, step.spec) && fleet.isAdvised(step.tasks[0], room.workerId)
        && (maxTasksPerWorker === 0 || there.length < maxTasksPerWorker)
        && !(isPatient && fleet.describePlacement(room, step.spec).strain > MAX_LATENCY_RATIO);
}

describe("planStarts on random fleets", () => {
    describe("when tasks are left waiting though the round could start more", () => {
        it("has no room for any of them", () => {
            let waiting = 0;
            for (const seed of SEEDS) {
                const fleet = new RandomFleet(seed);
                const rules = buildRules(fleet, seed);
                const plan = planStarts(fleet.demands, fleet.workers, rules);
                for (const demand of plan.unmet.filter(({ step }) => !step.spec.gang)) {
                    const overlooked = fleet.workers.filter(room => isOverlooked(demand, room, plan, fleet, rules));
                    const workers = overlooked.map(room => room.workerId);
                    expect({ seed, job: demand.step.occurrence.job.id, workers }).toEqual({
                        seed,
                        job: demand.step.occurrence.job.id,
                        workers: [],
                    });
                    waiting++;
                }
            }
            expect(waiting).toBeGreaterThan(SEEDS.length);
        });
    });
});

describe("DisplacementPlanner on random fleets", () => {
    describe("when what could give way is summed up once a round", () => {
        it("chooses the same victims as looking at every task for every demand", () => {
            let found = 0;
            for (const seed of SEEDS) {
                const fleet = new RandomFleet(seed);
                const { unmet } = planStarts(fleet.demands, fleet.workers, buildRules(fleet, seed));
                const listTasks = (workerId: string) => fleet.tasks.get(workerId) ?? [];
                const isAdvised = fleet.isAdvised.bind(fleet);
                const promised = new Map<StepDemand, readonly string[]>();
                const planner = new DisplacementPlanner(fleet.workers, listTasks, isAdvised);
                // Room is made for two tasks of each, as for steps that were interrupted.
                for (const demand of unmet.flatMap(each => [each, each])) {
                    const made = promised.get(demand) ?? demand.promised ?? [];
                    const asked = { ...demand, promised: made };
                    const expected = planPreemptionExhaustively(asked, fleet.workers, listTasks, isAdvised);
                    const displacement = planner.plan(demand);
                    expect({ seed, workerId: displacement?.workerId }).toEqual({ seed, workerId: expected?.workerId });
                    expect(displacement?.victims.map(task => task.ref)).toEqual(
                        expected?.victims.map(task => task.ref),
                    );
                    found += displacement === undefined ? 0 : 1;
                    displacement?.victims.forEach(task => task.phase = TaskPhase.Stopping);
                    promised.set(demand, displacement === undefined ? made : [...made, displacement.workerId]);
                }
            }
            expect(found).toBeGreaterThan(SEEDS.length);
        });
    });
});
