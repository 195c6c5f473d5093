import type { StepSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import {
    allocateCapacity,
    planStarts,
    PreemptionPlanner,
    type StepDemand,
    type WorkerCapacity,
} from "@sardinestage/plan-starts";
import { Job, openDueOccurrences, type StepRun, type Task, TaskPhase } from "@sardinestage/track-jobs";
import { performance } from "node:perf_hooks";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { PlacementScorer } from "../planning/placementScorer.js";
import { createQueue } from "./createQueue.js";

const SEED = 20261204;
const UINT32_RANGE = 0x1_0000_0000;
const NOW_MS = 1_800_000_000_000;
const FLEET_SIZES = [45, 342, 1900];
const ROUNDS = 20;
const SERVING_IMAGES = 10;
const BEST_EFFORT_IMAGES = 18;
const TASKS_PER_WORKER = 12;
const WAITING_STEPS = 30;
const CAPACITY_CPU_MILLIS = 16_000;
const WORKERS_PER_RACK = 20;
const LEARNED_MEASUREMENTS = 400;
const STARTS_PER_ROUND = 200;
const SERVING_CPU_MILLIS = [1000, 1500, 2000, 3000];
const BEST_EFFORT_CPU_MILLIS = [1000, 2000, 3000];

const generator = xoroshiro128plus(SEED);

/** Prints how long a planning round takes in a busy fleet of each size. */
function runMeasurement(): void {
    for (const workers of FLEET_SIZES) {
        const estimator = createEstimator();
        const tasks = createTasks(workers);
        const times = { starts: [] as number[], preemption: [] as number[] };
        let counts = "";
        for (let round = 0; round < ROUNDS; round++) {
            const capacities = [...tasks].map(([id, residents], index) => createCapacity(id, index, residents));
            const demands = Array.from({ length: WAITING_STEPS }, createDemand);
            const scorer = new PlacementScorer(estimator);
            const startedAtMs = performance.now();
            const plan = planStarts(demands, capacities, {
                maxStarts: STARTS_PER_ROUND,
                maxBestEffortWaitMs: Infinity,
                isAdvised: () => true,
                describePlacement: (capacity, spec) => scorer.describePlacement(capacity, spec),
            });
            const plannedAtMs = performance.now();
            const planner = new PreemptionPlanner(capacities, id => tasks.get(id) ?? [], () => true);
            const found = plan.unmet.filter(demand => planner.plan(demand) !== undefined);
            times.preemption.push(performance.now() - plannedAtMs);
            times.starts.push(plannedAtMs - startedAtMs);
            counts = `${plan.starts.length} starts, ${plan.unmet.length} unmet, ${found.length} preempting`;
        }
        const [starts, preemption] = [times.starts, times.preemption].map(computeMedian);
        process.stdout.write(
            `${workers} workers: starts ${starts.toFixed(2)} ms, preemption ${preemption.toFixed(2)} ms (${counts})\n`,
        );
    }
}

function computeMedian(values: number[]): number {
    return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)];
}

function createEstimator(): HeadroomEstimator {
    const estimator = new HeadroomEstimator();
    for (let measurement = 0; measurement < LEARNED_MEASUREMENTS; measurement++) {
        const neighbours = [{ image: `fill${pickBelow(BEST_EFFORT_IMAGES)}`, weight: 0.25 }];
        const image = `serve${pickBelow(SERVING_IMAGES)}`;
        const headroom = 1 + pickBelow(3);
        estimator.learnDifference(image, { headroom, neighbours }, { headroom: 3, neighbours: [] }, 0.2);
        estimator.learnUsualHeadroom(image, 3);
    }
    return estimator;
}

function createTasks(workers: number): Map<string, readonly Task[]> {
    return new Map(Array.from({ length: workers }, (_unused, index) => {
        const residents = Array.from({ length: TASKS_PER_WORKER }, (_none, place) => createResident(place % 2 === 0));
        return [`w${index}`, residents];
    }));
}

function createCapacity(workerId: string, index: number, residents: readonly Task[]): WorkerCapacity {
    const rack = `rack${Math.floor(index / WORKERS_PER_RACK)}`;
    const capacity: WorkerCapacity = {
        workerId,
        service: "service",
        rack,
        labels: ["kind", rack],
        capacityCpuMillis: CAPACITY_CPU_MILLIS,
        freeCpuMillis: CAPACITY_CPU_MILLIS,
        runToCompletionCpuMillis: 0,
        runToCompletionWork: 0,
        freeMemoryMb: 64_000,
        freeAccelerators: 0,
        bestEffortCpuMillis: 0,
        servingTasks: [],
        bestEffortSpecs: [],
        startsLeft: 1000,
        isReserved: false,
    };
    residents.forEach(task => allocateCapacity(capacity, task.step, 3));
    capacity.startsLeft = 1000;
    return capacity;
}

function createResident(isServing: boolean): Task {
    const [task] = createStepRun(isServing ? createServing(1) : createBestEffort(1), isServing ? 1 : 2).tasks;
    task.phase = TaskPhase.Running;
    return task;
}

function createDemand(): StepDemand {
    const count = 10 + pickBelow(11);
    const kind = pickBelow(10);
    const spec = kind < 3
        ? createServing(count)
        : kind < 8
        ? createBestEffort(count)
        : createStep({ taskCount: count, cpuMillis: 6000, gang: kind === 9, sameRack: kind === 9 });
    const step = createStepRun(spec, pickBelow(3));
    return {
        step,
        waiting: step.tasks,
        isStarted: false,
        remainingMs: 1000,
        waitedMs: 1000,
        slackMs: pickBelow(4000),
        lateSlackMs: 5000,
    };
}

function createServing(taskCount: number): StepSpec {
    return createStep({
        taskCount,
        image: `serve${pickBelow(SERVING_IMAGES)}`,
        cpuMillis: SERVING_CPU_MILLIS[pickBelow(SERVING_CPU_MILLIS.length)],
        tailLatencyTargetMs: 100,
        longRunning: true,
        maxTasksPerWorker: pickBelow(3),
    });
}

function createBestEffort(taskCount: number): StepSpec {
    return createStep({
        taskCount,
        image: `fill${pickBelow(BEST_EFFORT_IMAGES)}`,
        cpuMillis: BEST_EFFORT_CPU_MILLIS[pickBelow(BEST_EFFORT_CPU_MILLIS.length)],
        isBestEffort: true,
        savesProgress: true,
    });
}

function createStepRun(step: StepSpec, priority: number): StepRun {
    const spec = { payload: "", steps: [step], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
    const job = new Job("job", spec, { ...createQueue(), service: "service", priority }, NOW_MS);
    openDueOccurrences(job, NOW_MS);
    const [run] = job.openOccurrences.get(0)?.steps ?? [];
    return run;
}

function pickBelow(bound: number): number {
    return Math.floor((generator.next() >>> 0) / UINT32_RANGE * bound);
}

runMeasurement();
