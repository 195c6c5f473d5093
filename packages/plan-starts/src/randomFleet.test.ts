import { describe, expect, it } from "@jest/globals";
import { formatTaskKey } from "@sardinestage/describe-work";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { CapacityAhead } from "./capacityAhead.js";
import { computePackingScore } from "./computePackingScore.js";
import { hasCapacity } from "./hasCapacity.js";
import { isAllowedOn } from "./isAllowedOn.js";
import { isInterrupted } from "./isInterrupted.js";
import { planStarts } from "./planStarts.js";
import { PreemptionPlanner } from "./preemptionPlanner.js";
import { ReservationPlanner } from "./reservationPlanner.js";
import type { StartPlan } from "./startPlan.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import { planPreemptionExhaustively } from "./testing/planPreemptionExhaustively.js";
import { planStartsExhaustively } from "./testing/planStartsExhaustively.js";
import { RandomFleet } from "./testing/randomFleet.js";
import type { UnevenWorker } from "./unevenWorker.js";
import type { WorkerCapacity } from "./workerCapacity.js";

/** Expected tail latency, as a share of its target, above which a deferrable best-effort task isn't placed. */
const MAX_LATENCY_RATIO = 0.88;
const SEEDS = Array.from({ length: 300 }, (_unused, index) => 20261204 + index);
const MAX_STARTS = [5, 60, 1000];
const MAX_WAITS_MS = [2000, Infinity];

function buildRules(fleet: RandomFleet, seed: number) {
    return {
        maxStarts: MAX_STARTS[seed % MAX_STARTS.length],
        maxBestEffortWaitMs: MAX_WAITS_MS[seed % MAX_WAITS_MS.length],
        isAdvised: fleet.isAdvised.bind(fleet),
        describePlacement: fleet.describePlacement.bind(fleet),
    };
}

const SCORES = [
    { name: "usual", changes: {} },
    { name: "packing", changes: { computeScore: computePackingScore } },
];

function describePlan(plan: StartPlan): string[] {
    return [
        ...plan.starts.map(start => `${formatTaskKey(start.task.ref)} on ${start.workerId}`),
        ...plan.unmet.map(demand => `${demand.step.occurrence.job.id} unmet`),
    ];
}

function describeCapacity(worker: WorkerCapacity) {
    const { workerId, freeCpuMillis, freeMemoryMb, freeAccelerators, bestEffortCpuMillis, startsLeft, isReserved } =
        worker;
    const counts = { servingTasks: worker.servingTasks.length, bestEffortSpecs: worker.bestEffortSpecs.length };
    return {
        workerId,
        freeCpuMillis,
        freeMemoryMb,
        freeAccelerators,
        bestEffortCpuMillis,
        startsLeft,
        isReserved,
        ...counts,
    };
}

describe("planStarts on random fleets", () => {
    describe("when equal steps share one ranking of workers", () => {
        it.each(SCORES)("plans the same starts as scoring every worker again for every task: $name", ({ changes }) => {
            for (const seed of SEEDS) {
                const [fleet, reference] = [new RandomFleet(seed), new RandomFleet(seed)];
                const plan = describePlan(
                    planStarts(fleet.demands, fleet.workers, { ...buildRules(fleet, seed), ...changes }),
                );
                const expected = describePlan(
                    planStartsExhaustively(
                        reference.demands,
                        reference.workers,
                        { ...buildRules(reference, seed), ...changes },
                    ),
                );
                expect({ seed, plan }).toEqual({ seed, plan: expected });
                expect(fleet.workers.map(describeCapacity)).toEqual(reference.workers.map(describeCapacity));
            }
        });

        // Guards against shared rankings that mix demands with little and with enough slack, and against other plans than
        // without the feature while no worker is uneven: the reference then reads nothing of speeds.
        it.each([true, false])("plans the same starts also where workers are uneven (%s)", isUneven => {
            let differentCount = 0;
            const seeds = SEEDS.filter((_seed, index) => index % 4 === 0);
            for (const seed of seeds) {
                const [fleet, reference, usual] = [0, 1, 2].map(() => new RandomFleet(seed));
                const uneven = new Map(
                    fleet.workers.map(({ workerId }, index): [string, UnevenWorker] => [
                        workerId,
                        { slowness: 1 + index % 5, isCold: index % 3 === 0 },
                    ]),
                );
                const changes = isUneven ? { speeds: { worstSlowness: 2, uneven } } : {};
                const plan = describePlan(
                    planStarts(addMaxSlowness(fleet.demands), fleet.workers, {
                        ...buildRules(fleet, seed),
                        ...changes,
                    }),
                );
                const expected = describePlan(
                    planStartsExhaustively(
                        isUneven ? addMaxSlowness(reference.demands) : reference.demands,
                        reference.workers,
                        { ...buildRules(reference, seed), ...changes },
                    ),
                );
                expect({ seed, plan }).toEqual({ seed, plan: expected });
                const withoutSpeeds = describePlan(planStarts(usual.demands, usual.workers, buildRules(usual, seed)));
                differentCount += JSON.stringify(plan) === JSON.stringify(withoutSpeeds) ? 0 : 1;
            }
            if (isUneven) {
                expect(differentCount).toBeGreaterThan(seeds.length / 2);
            }
            else {
                expect(differentCount).toBe(0);
            }
        });
    });
});

/** Some jobs would miss their target on a slow worker, others wouldn't. */
function addMaxSlowness(demands: readonly StepDemand[]): readonly StepDemand[] {
    return demands.map((demand, index) => ({ ...demand, maxSlowness: index % 2 === 0 ? 1.5 : 9 }));
}

/** Whether a task that the round left waiting fits on a worker with the capacity that the round left free. */
function isOverlooked(
    demand: StepDemand,
    worker: WorkerCapacity,
    plan: StartPlan,
    fleet: RandomFleet,
    rules: StartRules,
) {
    const { step } = demand;
    const { maxTasksPerWorker } = step.spec;
    const placed = new Set(plan.starts.filter(start => start.workerId === worker.workerId).map(start => start.task));
    const tasksOnWorker = step.tasks.filter(task =>
        placed.has(task) || (task.phase === TaskPhase.Running && task.workerId === worker.workerId)
    );
    const canWait = step.spec.isBestEffort && demand.waitedMs < rules.maxBestEffortWaitMs;
    return isAllowedOn(step, worker) && hasCapacity(worker, step.spec, isInterrupted(demand))
        && fleet.isAdvised(step.tasks[0], worker.workerId)
        && (maxTasksPerWorker === 0 || tasksOnWorker.length < maxTasksPerWorker)
        && !(canWait && fleet.describePlacement(worker, step.spec).latencyRatio > MAX_LATENCY_RATIO);
}

describe("planStarts on random fleets", () => {
    describe("when tasks are left waiting though the round could start more", () => {
        it("leaves no worker with enough capacity for any of them", () => {
            let unmetCount = 0;
            for (const seed of SEEDS) {
                const fleet = new RandomFleet(seed);
                const rules = buildRules(fleet, seed);
                const plan = planStarts(fleet.demands, fleet.workers, rules);
                for (const demand of plan.unmet.filter(({ step }) => !step.spec.gang)) {
                    const overlooked = fleet.workers.filter(worker => isOverlooked(demand, worker, plan, fleet, rules));
                    const workers = overlooked.map(worker => worker.workerId);
                    expect({ seed, job: demand.step.occurrence.job.id, workers }).toEqual({
                        seed,
                        job: demand.step.occurrence.job.id,
                        workers: [],
                    });
                    unmetCount++;
                }
            }
            expect(unmetCount).toBeGreaterThan(SEEDS.length);
        });
    });
});

describe("planStarts on random fleets", () => {
    describe("when capacity is reserved ahead", () => {
        // Guards against long-running tasks that are held back for reserved starts.
        it("leaves no worker with enough capacity for a long-running task that waits", () => {
            let reservedCount = 0;
            let unmetCount = 0;
            for (const seed of SEEDS) {
                const fleet = new RandomFleet(seed);
                const workers = fleet.workers.map(worker => ({ ...worker, ahead: buildAhead(worker) }));
                const reservations = new ReservationPlanner({
                    estimateDuration: step => step.spec.estimateMs,
                    noteOutcome: () => reservedCount++,
                });
                reservations.startRound(workers, 0);
                const rules = { ...buildRules(fleet, seed), computeScore: computePackingScore, reservations };
                const plan = planStarts(fleet.demands, workers, rules);
                const unmet = plan.unmet.filter(({ step }) => step.spec.longRunning && !step.spec.gang);
                const overlooked = unmet.flatMap(demand =>
                    workers.filter(worker => isOverlooked(demand, worker, plan, fleet, rules))
                );
                expect({ seed, workers: overlooked.map(({ workerId }) => workerId) }).toEqual({ seed, workers: [] });
                unmetCount += unmet.length;
            }
            expect(reservedCount).toBeGreaterThan(SEEDS.length);
            expect(unmetCount).toBeGreaterThan(SEEDS.length);
        });
    });
});

/** All run-to-completion tasks on the worker end after a second. */
function buildAhead({ runToCompletionCpuMillis }: WorkerCapacity): CapacityAhead {
    const end = { cpuMillis: runToCompletionCpuMillis, memoryMb: 0, accelerators: 0, atMs: 1000 };
    return { ends: [end], plannedEnds: [], reservations: [] };
}

describe("PreemptionPlanner on random fleets", () => {
    describe("when the possible victims of a worker are summed up once a round", () => {
        it("chooses the same victims as checking every task for every demand", () => {
            let found = 0;
            for (const seed of SEEDS) {
                const fleet = new RandomFleet(seed);
                const { unmet } = planStarts(fleet.demands, fleet.workers, buildRules(fleet, seed));
                const listTasks = (workerId: string) => fleet.tasks.get(workerId) ?? [];
                const isAdvised = fleet.isAdvised.bind(fleet);
                const reserved = new Map<StepDemand, readonly string[]>();
                const planner = new PreemptionPlanner(fleet.workers, listTasks, isAdvised);
                // Plans preemption for two tasks of each demand, as for interrupted steps.
                for (const demand of unmet.flatMap(each => [each, each])) {
                    const workerIds = reserved.get(demand) ?? demand.reservedWorkerIds ?? [];
                    const asked = { ...demand, reservedWorkerIds: workerIds };
                    const expected = planPreemptionExhaustively(asked, fleet.workers, listTasks, isAdvised);
                    const preemption = planner.plan(demand);
                    expect({ seed, workerId: preemption?.workerId }).toEqual({ seed, workerId: expected?.workerId });
                    expect(preemption?.victims.map(task => task.ref)).toEqual(
                        expected?.victims.map(task => task.ref),
                    );
                    found += preemption === undefined ? 0 : 1;
                    preemption?.victims.forEach(task => task.phase = TaskPhase.Stopping);
                    reserved.set(demand, preemption === undefined ? workerIds : [...workerIds, preemption.workerId]);
                }
            }
            expect(found).toBeGreaterThan(SEEDS.length);
        });
    });
});
