import { describe, expect, it } from "@jest/globals";
import type { JobSpec, StepSpec } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import type { SchedulingFeatures } from "../schedulingFeatures.js";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const WORKERS = 24;
/** One of this many workers is slow. */
const SLOW_EVERY = 6;
const SLOW_FACTOR = 3;
const QUICK_MS = 680;
const BATCH_MS = 2300;
/** With these intervals, tasks request about half of the fleet's processor: quick ones 0.2, batch ones 0.3. */
const QUICK_INTERVAL_MS = 250;
const BATCH_INTERVAL_MS = 1500;
const RUN_MS = 40_000;
const DRAIN_MS = 20_000;
/** Jobs submitted before this aren't counted: speeds are learned meanwhile. */
const COUNTED_FROM_MS = 10_000;
const SAMPLE_MS = 50;
const TAKEOVER_MS = 20_000;

const quickQueue = createQueue({ name: "quick", maxAttempts: 4, stretch: 1.5, targetLatencyMs: 500 });
const batchQueue = createQueue({ name: "batch", priority: 2, maxAttempts: 4, stretch: 2, targetLatencyMs: 1000 });
const quickLimitMs = quickQueue.stretch * QUICK_MS + quickQueue.targetLatencyMs;
const batchLimitMs = batchQueue.stretch * 2 * BATCH_MS + batchQueue.targetLatencyMs;
/** The other features that deployment B has on. */
const featuresOfB: SchedulingFeatures = {
    ...noSchedulingFeatures,
    sharesCapacity: true,
    copiesSlowTasks: true,
    protectsLastAttempts: true,
};

function createSpec(steps: readonly StepSpec[]): JobSpec {
    return { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

const batchStep = createStep({
    taskCount: 20,
    cpuMillis: 1800,
    image: "batch",
    estimateMs: BATCH_MS,
    isBestEffort: true,
});
const batchSpec = createSpec([batchStep, { ...batchStep, dependsOn: [0] }]);

/** Lists the times of the jobs of a queue that were submitted after the warm-up, in milliseconds, the shortest first. */
function listTimes(events: readonly string[], queue: string, intervalMs: number): readonly number[] {
    return events.flatMap(event => {
        const [, name, job, tookMs] = /job-ended.*"job":"(\w+)-(\d+)".*"tookMs":(\d+)/.exec(event) ?? [];
        return name === queue && Number(job) * intervalMs >= COUNTED_FROM_MS ? [Number(tookMs)] : [];
    }).sort((left, right) => left - right);
}

/**
 * Runs both queues of deployment B on a fleet with slow workers.
 *
 * @param slowForMs How long workers are slow until others are slow instead.
 * @param takeoverMs When another coordinator takes over, in milliseconds; never by default.
 */
async function runJobs(seed: number, features: SchedulingFeatures, slowForMs = Infinity, takeoverMs = Infinity) {
    const random = createRandom(seed);
    const harness = new CoordinatorHarness(
        random,
        task => (task.jobId.startsWith("quick") ? QUICK_MS : BATCH_MS) * (0.8 + 0.4 * random()),
    );
    harness.features = features;
    for (let index = 0; index < WORKERS; index++) {
        const isSlow = () => (index + Math.floor(harness.clock.getNow() / slowForMs)) % SLOW_EVERY === 0;
        harness.workerTraits = {
            clockRate: 1,
            getDemand: task => ({ cpuMillis: task.jobId.startsWith("quick") ? 2800 : 0, memoryMb: 1000 }),
            changeDuration: durationMs => durationMs * (isSlow() ? SLOW_FACTOR : 1),
        };
        void harness.addWorker(`w${index}`);
    }
    await harness.clock.runFor(50);
    harness.startTerm(false);
    await harness.clock.runFor(500);
    for (let elapsedMs = 0; elapsedMs < RUN_MS + DRAIN_MS; elapsedMs += SAMPLE_MS) {
        if (elapsedMs < RUN_MS && elapsedMs % QUICK_INTERVAL_MS === 0) {
            // Callers' estimates are wrong by up to 50%.
            const estimateMs = QUICK_MS * (0.67 + 0.83 * random());
            const step = createStep({ taskCount: 10, cpuMillis: 2800, image: "quick", estimateMs });
            void harness.submit(`quick-${elapsedMs / QUICK_INTERVAL_MS}`, createSpec([step]), quickQueue);
        }
        if (elapsedMs < RUN_MS && elapsedMs % BATCH_INTERVAL_MS === 0) {
            void harness.submit(`batch-${elapsedMs / BATCH_INTERVAL_MS}`, batchSpec, batchQueue);
        }
        if (elapsedMs === takeoverMs) {
            harness.startTerm(true);
        }
        await harness.clock.runFor(SAMPLE_MS);
    }
    expect(harness.runChecker.violations).toEqual([]);
    expect(harness.runChecker.countActiveRuns()).toBe(0);
    expect(harness.events.filter(event => event.includes("run-refused"))).toEqual([]);
    const quickTimes = listTimes(harness.events, "quick", QUICK_INTERVAL_MS);
    const batchTimes = listTimes(harness.events, "batch", BATCH_INTERVAL_MS);
    expect(quickTimes).toHaveLength((RUN_MS - COUNTED_FROM_MS) / QUICK_INTERVAL_MS);
    return {
        p95: quickTimes[Math.floor(quickTimes.length * 0.95)],
        median: quickTimes[quickTimes.length >> 1],
        inTarget: quickTimes.filter(tookMs => tookMs <= quickLimitMs).length,
        batchInTime: batchTimes.filter(tookMs => tookMs <= batchLimitMs).length,
    };
}

// Guards against quick jobs that miss their target because some of their tasks run on slow workers.
describe("While a sixth of the workers is 3 times slower", () => {
    it.each([
        { others: "no other feature", features: noSchedulingFeatures },
        { others: "the other features of deployment B", features: featuresOfB },
    ])(
        "the 95th percentile of quick jobs falls, and no fewer batch jobs are in time: $others",
        async ({ features }) => {
            const off = await runJobs(1, features);
            const on = await runJobs(1, { ...features, prefersFastWorkers: true });
            expect(on.p95).toBeLessThan(off.p95 * 0.75);
            expect(on.batchInTime).toBeGreaterThanOrEqual(off.batchInTime);
        },
    );

    // Guards against a successor that breaks a rule, or loses jobs, as it doesn't know the speeds that its predecessor knew.
    it("a successor serves all jobs, and learns the speeds anew", async () => {
        const off = await runJobs(1, featuresOfB, Infinity, TAKEOVER_MS);
        const on = await runJobs(1, { ...featuresOfB, prefersFastWorkers: true }, Infinity, TAKEOVER_MS);
        expect(on.inTarget).toBeGreaterThan(off.inTarget);
    });

    // Guards against speeds that are learned too late, or forgotten too late, where slow workers come and go.
    it("more quick jobs meet their target although the slow workers change every 8 s", async () => {
        const off = await runJobs(2, featuresOfB, 8000);
        const on = await runJobs(2, { ...featuresOfB, prefersFastWorkers: true }, 8000);
        expect(on.inTarget).toBeGreaterThan(off.inTarget);
    });
});
