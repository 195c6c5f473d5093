import { describe, expect, it } from "@jest/globals";
import type { JobSpec, StepSpec, TaskRef } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const SEEDS = [38, 39];
const WORKERS = 32;
const WORKER_CPU_MILLIS = 16_000;
const SMALL_CPU_MILLIS = 2000;
const SMALL_MS = 1000;
const TASKS_PER_JOB = 8;
const WARM_UP_S = 6;
const MEASURED_S = 20;
const LARGE_TASKS = 4;
const LARGE_MS = 1000;
/** Small jobs at the edge of the time in which they are in time. */
const TOLERANCE = 0.995;

const queue = createQueue();
/** A large task has to start, and a small job to end, within this, in milliseconds. */
const BOUND_MS = queue.stretch * LARGE_MS + queue.targetLatencyMs;

/** What runs on the fleet. */
interface Load {
    readonly seed: number;
    /** Share of the fleet's processor that small tasks use. */
    readonly share: number;
    readonly reservesCapacity: boolean;
}

function createSpec(changes: Partial<StepSpec>): JobSpec {
    return { payload: "", steps: [createStep(changes)], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

/** Small tasks take up to 90 percent less or more than estimated. */
function getDuration(seed: number, { jobId, index }: TaskRef): number {
    if (!jobId.startsWith("small")) {
        return LARGE_MS;
    }
    const ordinal = Number(jobId.slice("small".length)) * TASKS_PER_JOB + index;
    return SMALL_MS * (0.1 + 1.8 * (ordinal * seed % 101) / 100);
}

/** Runs small jobs and, after a while, large tasks beside them. Returns waits of these and times of the small jobs. */
async function runMixedLoad({ seed, share, reservesCapacity }: Load) {
    const harness = new CoordinatorHarness(createRandom(seed), task => getDuration(seed, task));
    harness.features = { ...noSchedulingFeatures, reservesCapacity };
    const { clock, runChecker } = harness;
    for (let index = 0; index < WORKERS; index++) {
        void harness.addWorker(`w${index}`);
    }
    await clock.runFor(50);
    harness.startTerm(false);
    await clock.runFor(500);
    const submittedAtMs = new Map<string, number>();
    const waits = new Map<string, number>();
    const smallTimes = new Map<string, number[]>();
    const [noteStart, noteEnd] = [runChecker.noteStart.bind(runChecker), runChecker.noteEnd.bind(runChecker)];
    runChecker.noteStart = (task, ...others) => {
        waits.set(task.jobId, clock.getNow() - (submittedAtMs.get(task.jobId) ?? 0));
        noteStart(task, ...others);
    };
    runChecker.noteEnd = (task, ...others) => {
        const times = smallTimes.get(task.jobId) ?? [];
        smallTimes.set(task.jobId, [...times, clock.getNow() - (submittedAtMs.get(task.jobId) ?? 0)]);
        noteEnd(task, ...others);
    };
    const submit = (id: string, changes: Partial<StepSpec>) => {
        submittedAtMs.set(id, clock.getNow());
        void harness.submit(id, createSpec(changes), queue);
    };
    const intervalMs = TASKS_PER_JOB * SMALL_CPU_MILLIS * SMALL_MS / (share * WORKERS * WORKER_CPU_MILLIS);
    const jobCount = Math.floor((WARM_UP_S + MEASURED_S) * 1000 / intervalMs);
    for (let job = 0; job < jobCount; job++) {
        submit(`small${job}`, { taskCount: TASKS_PER_JOB, cpuMillis: SMALL_CPU_MILLIS, estimateMs: SMALL_MS });
        if (job === Math.floor(WARM_UP_S * 1000 / intervalMs)) {
            for (let index = 0; index < LARGE_TASKS; index++) {
                submit(`large${index}`, { cpuMillis: 10_000, estimateMs: LARGE_MS });
            }
        }
        await clock.runFor(intervalMs);
    }
    expect(runChecker.violations).toEqual([]);
    const isInTime = (job: number) => {
        const times = smallTimes.get(`small${job}`) ?? [];
        return times.length === TASKS_PER_JOB && Math.max(...times) <= BOUND_MS;
    };
    return {
        largeWaits: Array.from({ length: LARGE_TASKS }, (_unused, index) => waits.get(`large${index}`) ?? Infinity),
        inTime: Array.from({ length: jobCount }, (_unused, job) => job).filter(isInTime).length,
    };
}

describe("Large run-to-completion tasks beside small ones, where capacity is reserved", () => {
    // Guards against a large task that never starts, as small ones take each piece of capacity that comes free.
    it.each(SEEDS)("start within their bound at 97 percent load, seed %d", async seed => {
        const { largeWaits } = await runMixedLoad({ seed, share: 0.97, reservesCapacity: true });
        expect(Math.max(...largeWaits)).toBeLessThanOrEqual(BOUND_MS);
    });

    // Guards against capacity that stands idle for reserved starts while small tasks wait.
    it.each(SEEDS)("take nothing from the small ones at 90 percent load, seed %d", async seed => {
        const usual = await runMixedLoad({ seed, share: 0.9, reservesCapacity: false });
        const ahead = await runMixedLoad({ seed, share: 0.9, reservesCapacity: true });
        expect(Math.max(...ahead.largeWaits)).toBeLessThanOrEqual(BOUND_MS);
        expect(ahead.inTime).toBeGreaterThanOrEqual(usual.inTime * TOLERANCE);
    });
});
