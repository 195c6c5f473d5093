import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const WORKERS = 20;
const TASK_MS = 680;
const TASK_CPU_MILLIS = 2800;
const SLOW_SHARE = 0.03;
const SLOW_FACTOR = 7;
/** With this interval, the tasks hold about 60% of the workers. */
const JOB_INTERVAL_MS = 130;
const JOBS = 200;
/** Jobs before this one aren't counted: the spread of durations is learned meanwhile. */
const FIRST_COUNTED_JOB = 40;
const SAMPLE_MS = 10;

/** Runs jobs of which some tasks are slow; returns the 95th percentile of the job times and the work done. */
async function runJobs(seed: number, copiesSlowTasks: boolean, speculative: boolean) {
    const random = createRandom(seed);
    const harness = new CoordinatorHarness(
        random,
        () => TASK_MS * (0.8 + 0.4 * random()) * (random() < SLOW_SHARE ? SLOW_FACTOR : 1),
    );
    harness.features = { ...noSchedulingFeatures, copiesSlowTasks };
    harness.workerTraits = { clockRate: 1, getDemand: () => ({ cpuMillis: TASK_CPU_MILLIS, memoryMb: 1000 }) };
    for (let index = 0; index < WORKERS; index++) {
        void harness.addWorker(`w${index}`);
    }
    await harness.clock.runFor(50);
    harness.startTerm(false);
    await harness.clock.runFor(500);
    const steps = [createStep({ taskCount: 10, cpuMillis: TASK_CPU_MILLIS, estimateMs: TASK_MS, speculative })];
    const spec: JobSpec = { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
    let work = 0;
    for (let elapsedMs = 0; elapsedMs < JOBS * JOB_INTERVAL_MS + 10_000; elapsedMs += SAMPLE_MS) {
        if (elapsedMs % JOB_INTERVAL_MS === 0 && elapsedMs < JOBS * JOB_INTERVAL_MS) {
            void harness.submit(
                `job${elapsedMs / JOB_INTERVAL_MS}`,
                spec,
                createQueue({ maxAttempts: 4, targetLatencyMs: 500 }),
            );
        }
        await harness.clock.runFor(SAMPLE_MS);
        work += harness.runChecker.countActiveRuns();
    }
    const ended = harness.events.flatMap(event => {
        const [, job, tookMs] = /job-ended.*"job":"job(\d+)".*"tookMs":(\d+)/.exec(event) ?? [];
        return job === undefined ? [] : [{ job: Number(job), tookMs: Number(tookMs) }];
    });
    expect(ended.length).toBe(JOBS);
    expect(harness.runChecker.violations).toEqual([]);
    expect(harness.runChecker.countActiveRuns()).toBe(0);
    expect(harness.events.filter(event => event.includes("run-refused"))).toEqual([]);
    const times = ended.filter(({ job }) => job >= FIRST_COUNTED_JOB).map(({ tookMs }) => tookMs).sort((a, b) => a - b);
    const copies = harness.events.filter(event => event.includes("copy-started")).length;
    return { p95: times[Math.floor(times.length * 0.95)], median: times[times.length >> 1], work, copies };
}

describe("While 3% of the tasks take 7 times as long", () => {
    // Guards against quick jobs that miss their target because one of their tasks is in the tail.
    it("copies lower the 95th percentile of job times with no more work", async () => {
        const off = await runJobs(1, false, true);
        const on = await runJobs(1, true, true);
        expect(on.p95).toBeLessThan(off.p95 * 0.75);
        // The runs that copies outrun are stopped, so that there is even less work than without copies.
        expect(on.work).toBeLessThan(off.work);
        expect(off.copies).toBe(0);
    });

    // Guards against a second run of a task whose step doesn't allow copies.
    it("no task is copied unless its step permits it", async () => {
        expect((await runJobs(2, true, false)).copies).toBe(0);
    });
});
