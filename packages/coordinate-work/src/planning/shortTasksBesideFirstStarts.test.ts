import { describe, expect, it } from "@jest/globals";
import type { JobSpec, StepSpec, TaskRef } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FOREVER_MS = 600_000;
const SEED = 38;
const WORKERS = 32;
const SHORT_MS = 500;
const SHORT_CPU_MILLIS = 2000;
/** Leaves room for three short tasks on each worker. */
const BASE_CPU_MILLIS = 10_000;
const MEASURED_S = 10;
/** Short tasks end at the edges of the measurement. */
const TOLERANCE = 0.95;

/** What runs beside the short tasks on the workers of one service. */
interface Scene {
    /** Number of the fleet's workers that are of the service. */
    readonly serviceWorkers: number;
    /** Number of workers with one run-to-completion task that takes very long. */
    readonly longTasks: number;
    /** Number of long-running tasks that wait for their first start. */
    readonly lastingTasks: number;
    readonly lastingCpuMillis: number;
    readonly reservesCapacity: boolean;
}

function createSpec(changes: Partial<StepSpec>): JobSpec {
    return { payload: "", steps: [createStep(changes)], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

function getDuration({ jobId, index }: TaskRef): number {
    return jobId === "short" ? SHORT_MS * (0.5 + (index * 37 % 100) / 100) : FOREVER_MS;
}

/** Starts a fleet that is full of short tasks, of which some workers are of the service that has all work. */
async function startFleet(serviceWorkers: number, reservesCapacity: boolean): Promise<CoordinatorHarness> {
    const harness = new CoordinatorHarness(createRandom(SEED), getDuration);
    harness.features = { ...noSchedulingFeatures, reservesCapacity };
    for (let index = 0; index < WORKERS; index++) {
        const id = `w${index}`;
        void harness.addWorker(id);
        const worker = harness.fleet.workers.get(id);
        if (index >= serviceWorkers && worker !== undefined) {
            const entry = { ...worker.describeEntry(), service: "other" };
            worker.describeEntry = () => entry;
            void harness.publishEntry(id);
        }
    }
    await harness.clock.runFor(50);
    harness.startTerm(false);
    await harness.clock.runFor(500);
    return harness;
}

/** Measures how many short tasks are done in a second while long-running tasks wait for their first start. */
async function measureShortTasks(scene: Scene) {
    const { serviceWorkers, longTasks, lastingTasks, lastingCpuMillis, reservesCapacity } = scene;
    const harness = await startFleet(serviceWorkers, reservesCapacity);
    const { clock, runChecker } = harness;
    const submit = async (id: string, changes: Partial<StepSpec>, waitMs: number) => {
        if (changes.taskCount !== 0) {
            void harness.submit(id, createSpec(changes), createQueue());
        }
        await clock.runFor(waitMs);
    };
    const base = { taskCount: serviceWorkers, longRunning: true, cpuMillis: BASE_CPU_MILLIS, maxTasksPerWorker: 1 };
    await submit("base", base, 2000);
    await submit("long", { taskCount: longTasks, cpuMillis: SHORT_CPU_MILLIS, maxTasksPerWorker: 1 }, 1000);
    await submit("short", { taskCount: 9000, cpuMillis: SHORT_CPU_MILLIS, estimateMs: SHORT_MS }, 3000);
    await submit("lasting", { taskCount: lastingTasks, longRunning: true, cpuMillis: lastingCpuMillis }, 5000);
    let done = 0;
    const noteEnd = runChecker.noteEnd.bind(runChecker);
    runChecker.noteEnd = (task, worker, isDone, ...others) => {
        done += task.jobId === "short" && isDone ? 1 : 0;
        noteEnd(task, worker, isDone, ...others);
    };
    await clock.runFor(MEASURED_S * 1000);
    expect(runChecker.violations).toEqual([]);
    return done / MEASURED_S;
}

// Guards against workers that are kept for long-running tasks which can't start there for long.
describe.each([
    { reservesCapacity: false },
    { reservesCapacity: true },
])("Short tasks, while long-running tasks of their priority wait for their first start, %j", features => {
    describe("on a fleet where these tasks never fit", () => {
        it("lose nothing", async () => {
            const scene = {
                ...features,
                serviceWorkers: WORKERS,
                longTasks: 0,
                lastingTasks: 0,
                lastingCpuMillis: 8000,
            };
            expect(await measureShortTasks({ ...scene, lastingTasks: 8 })).toBe(await measureShortTasks(scene));
        });
    });

    describe("on a fleet where these tasks fit only after work that takes very long", () => {
        it("lose a tenth at most", async () => {
            const scene = {
                ...features,
                serviceWorkers: WORKERS,
                longTasks: WORKERS,
                lastingTasks: 0,
                lastingCpuMillis: 5000,
            };
            const usual = await measureShortTasks(scene);
            expect(await measureShortTasks({ ...scene, lastingTasks: 8 })).toBeGreaterThan(usual * 0.9);
        });
    });

    describe("on the few workers of their service in a large fleet, where these tasks fit only after such work", () => {
        it.each([2, 4, 8])("lose those of one worker at most, workers: %d", async serviceWorkers => {
            const scene = {
                ...features,
                serviceWorkers,
                longTasks: serviceWorkers,
                lastingTasks: 0,
                lastingCpuMillis: 5000,
            };
            const usual = await measureShortTasks(scene);
            expect(usual).toBeGreaterThan(0);
            expect(await measureShortTasks({ ...scene, lastingTasks: 8 })).toBeGreaterThan(
                usual * (1 - 1 / serviceWorkers) * TOLERANCE,
            );
        });
    });
});
