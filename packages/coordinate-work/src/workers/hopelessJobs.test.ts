import { describe, expect, it } from "@jest/globals";
import type { JobSpec, QueueConfig, StepSpec, TaskRef } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FOREVER_MS = 600_000;
const SOUND_MS = 1000;
/** A job that could run may have no run for 3 s; a job's short tasks run at once where most capacity is free. */
const MAX_IDLE_MS = 3000;
/** How long hopeless tasks have failed before other jobs come, in milliseconds. */
const SETTLED_MS = 8000;
const LATER_JOBS = 6;

/** What fails, and where. */
interface Trouble {
    readonly workers: number;
    readonly soundLastingJobs: number;
    readonly hopelessJobs: number;
    readonly hopelessTasks: number;
    /** Tasks with a lower index are sound although their job is hopeless. */
    readonly hopelessFromIndex?: number;
    /** Time from a hopeless task's start to its failure, in milliseconds. */
    readonly failsAfterMs: number;
    readonly hopelessStep?: Partial<StepSpec>;
    readonly hopelessQueue?: Partial<QueueConfig>;
    /** How often a task of the ordinary jobs may fail. */
    readonly ordinaryAttempts?: number;
    /** Share of the runs of sound tasks that fail by chance. */
    readonly chanceFailures?: number;
    /** Whether a coordinator that knows nothing of the failures takes over before the other jobs come. */
    readonly hasTakeover?: boolean;
    /** Whether hopeless tasks make no progress instead of failing. */
    readonly isStalling?: boolean;
    readonly seed?: number;
}

const usualTrouble: Trouble = {
    workers: 8,
    soundLastingJobs: 38,
    hopelessJobs: 2,
    hopelessTasks: 8,
    failsAfterMs: 300,
};

function createSpec(changes: Partial<StepSpec>): JobSpec {
    const steps = [createStep({ memoryMb: 100, ...changes })];
    return { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

/** A fleet on which the tasks of jobs named "hopeless..." fail wherever they run. */
async function createHarness(trouble: Trouble, faultyWorkers = 0): Promise<CoordinatorHarness> {
    const random = createRandom(trouble.seed ?? 1);
    const harness = new CoordinatorHarness(() => 0.5, ({ jobId, index }: TaskRef) => {
        const isHopeless = jobId.startsWith("hopeless") && index >= (trouble.hopelessFromIndex ?? 0);
        if (isHopeless) {
            return trouble.isStalling === true ? FOREVER_MS : -trouble.failsAfterMs;
        }
        const isLasting = jobId.startsWith("lasting") || jobId.startsWith("hopeless");
        const durationMs = isLasting ? FOREVER_MS : SOUND_MS;
        return random() < (trouble.chanceFailures ?? 0) ? -SOUND_MS / 2 : durationMs;
    });
    for (let index = 0; index < trouble.workers; index++) {
        const isFaulty = index < faultyWorkers;
        harness.workerTraits = {
            clockRate: 1,
            getDemand: undefined,
            changeDuration: durationMs => isFaulty ? -100 : durationMs,
            isStalled: ({ jobId }) => trouble.isStalling === true && jobId.startsWith("hopeless"),
        };
        void harness.addWorker(`w${index}`);
    }
    await harness.clock.runFor(50);
    harness.startTerm(false);
    await harness.clock.runFor(500);
    return harness;
}

async function submitLastingAndHopeless(harness: CoordinatorHarness, trouble: Trouble): Promise<void> {
    for (let index = 0; index < trouble.soundLastingJobs; index++) {
        void harness.submit(`lasting${index}`, createSpec({ cpuMillis: 500, longRunning: true }), createQueue());
        await harness.clock.runFor(50);
    }
    for (let index = 0; index < trouble.hopelessJobs; index++) {
        const step = { taskCount: trouble.hopelessTasks, cpuMillis: 500, longRunning: true, ...trouble.hopelessStep };
        void harness.submit(`hopeless${index}`, createSpec(step), createQueue(trouble.hopelessQueue));
        await harness.clock.runFor(50);
    }
}

/** Submits sound jobs one after the other and returns the longest time that one of them waited for its first run. */
async function measureLongestWait(harness: CoordinatorHarness, step: Partial<StepSpec>): Promise<number> {
    let longestMs = 0;
    for (let index = 0; index < LATER_JOBS; index++) {
        const id = `later${index}`;
        const queue = createQueue({ priority: index % 2 === 0 ? 0 : 2, name: `queue${index % 2}`, maxAttempts: 10 });
        const submittedAtMs = harness.clock.getNow();
        void harness.submit(id, createSpec({ taskCount: 4, ...step }), queue);
        const isStarted = () => harness.events.some(event => event.includes("run-order") && event.includes(id));
        while (!isStarted() && harness.clock.getNow() - submittedAtMs < 2 * MAX_IDLE_MS) {
            await harness.clock.runFor(10);
        }
        longestMs = Math.max(longestMs, harness.clock.getNow() - submittedAtMs);
        await harness.clock.runFor(SOUND_MS + 200);
    }
    return longestMs;
}

async function measureWaitBeside(trouble: Trouble, step: Partial<StepSpec> = {}): Promise<number> {
    const harness = await createHarness(trouble);
    await submitLastingAndHopeless(harness, trouble);
    await harness.clock.runFor(SETTLED_MS);
    if (trouble.hasTakeover === true) {
        harness.startTerm(false);
        await harness.clock.runFor(1000);
    }
    return measureLongestWait(harness, step);
}

// Guards against review/11: the failures of hopeless tasks were charged to the workers, which all went on probation, and
// each trial went to a hopeless task again, so that no other job started any more.
describe("While tasks fail on every worker that they are tried on", () => {
    const cases: readonly (readonly [string, Partial<Trouble>])[] = [
        ["two lasting jobs of 8 tasks", {}],
        ["two jobs that fail at once", { failsAfterMs: 20 }],
        ["two jobs that work longer than a trial", { failsAfterMs: 1500 }],
        ["two jobs that work for seconds", { failsAfterMs: 4000 }],
        ["many jobs of one task", { hopelessJobs: 30, hopelessTasks: 1 }],
        ["many jobs of one task that work longer than a trial", {
            hopelessJobs: 30,
            hopelessTasks: 1,
            failsAfterMs: 1500,
        }],
        ["more tasks than there are workers", { hopelessJobs: 3, hopelessTasks: 40 }],
        ["no other work", { soundLastingJobs: 0 }],
        ["few workers", { workers: 2, soundLastingJobs: 8 }],
        ["a single worker", { workers: 1, soundLastingJobs: 4, hopelessTasks: 3 }],
        ["many workers", { workers: 40, hopelessJobs: 6, hopelessTasks: 12 }],
        ["sound tasks that fail now and then", { chanceFailures: 0.15 }],
        ["a takeover", { hasTakeover: true }],
        ["a takeover and many jobs", { hasTakeover: true, hopelessJobs: 30, hopelessTasks: 2 }],
        ["jobs that end after many attempts", {
            hopelessStep: { longRunning: false },
            hopelessQueue: { maxAttempts: 1000 },
        }],
        ["gangs", { hopelessStep: { longRunning: false, gang: true }, hopelessQueue: { maxAttempts: 1000 } }],
        ["tasks that make no progress", { isStalling: true }],
        ["sound tasks in the same steps", { hopelessJobs: 4, hopelessFromIndex: 5 }],
    ];
    describe.each(cases)("with %s", (_name, changes) => {
        const trouble = { ...usualTrouble, ...changes };

        it("other jobs start", async () => {
            expect(await measureWaitBeside(trouble)).toBeLessThan(MAX_IDLE_MS);
        });

        it("other lasting jobs start", async () => {
            expect(await measureWaitBeside(trouble, { longRunning: true, taskCount: 1 })).toBeLessThan(MAX_IDLE_MS);
        });
    });

    describe("when many jobs come that can never be done, and each ends after few attempts", () => {
        it.each([1, 2, 3])("other jobs start, with %d attempts", async maxAttempts => {
            const trouble = { ...usualTrouble, hopelessJobs: 0 };
            const harness = await createHarness(trouble);
            await submitLastingAndHopeless(harness, trouble);
            for (let index = 0; index < 600; index++) {
                const queue = createQueue({ maxAttempts });
                harness.clock.schedule(index * 30, () => {
                    void harness.submit(`hopeless${index}`, createSpec({ cpuMillis: 200, taskCount: 4 }), queue);
                });
            }
            await harness.clock.runFor(SETTLED_MS);
            expect(await measureLongestWait(harness, {})).toBeLessThan(MAX_IDLE_MS);
        });
    });

    describe("when the waiting work is a gang", () => {
        it("starts", async () => {
            expect(await measureWaitBeside(usualTrouble, { gang: true })).toBeLessThan(MAX_IDLE_MS);
        });
    });
});

// Guards against hopeless tasks that make all workers suspect, so that no task risks its last attempt anywhere.
describe("A task with one attempt left, while other tasks fail everywhere", () => {
    it("starts in time", async () => {
        const trouble = { ...usualTrouble, soundLastingJobs: 0, hopelessTasks: 20 };
        const harness = await createHarness(trouble);
        harness.features = { ...noSchedulingFeatures, protectsLastAttempts: true };
        harness.startTerm(false);
        await harness.clock.runFor(1000);
        await submitLastingAndHopeless(harness, trouble);
        await harness.clock.runFor(SETTLED_MS);
        const queue = createQueue({ maxAttempts: 1, stretch: 100, targetLatencyMs: 60_000 });
        void harness.submit("single", createSpec({ taskCount: 4 }), queue);
        await harness.clock.runFor(MAX_IDLE_MS + SOUND_MS);
        expect(await harness.coordinator?.getState("single")).toBe(JobState.Completed);
    });
});

const ORDINARY_JOBS = 60;
const ORDINARY_TASKS = 6;
const ORDINARY_INTERVAL_MS = 250;

/** Runs ordinary jobs beside workers that fail all that they start; returns the starts of these jobs' tasks there. */
async function countStartsOnFaulty(trouble: Trouble, faultyWorkers: number): Promise<number> {
    const harness = await createHarness(trouble, faultyWorkers);
    await submitLastingAndHopeless(harness, trouble);
    await harness.clock.runFor(2000);
    const queue = createQueue({ maxAttempts: trouble.ordinaryAttempts ?? 3 });
    for (let index = 0; index < ORDINARY_JOBS; index++) {
        void harness.submit(`ordinary${index}`, createSpec({ taskCount: ORDINARY_TASKS }), queue);
        await harness.clock.runFor(ORDINARY_INTERVAL_MS);
    }
    await harness.clock.runFor(10_000);
    const states = await Promise.all(Array.from({ length: ORDINARY_JOBS }, (_unused, index) => {
        return harness.coordinator?.getState(`ordinary${index}`);
    }));
    expect(states.filter(state => state !== JobState.Completed)).toEqual([]);
    return harness.events.filter(event => event.includes("run-order") && event.includes("ordinary"))
        .filter(event => Array.from({ length: faultyWorkers }).some((_unused, index) => event.includes(`"w${index}"`)))
        .length;
}

// Guards against a mend of review/11 that keeps probation from the workers that are at fault.
describe("A worker that fails all that it starts", () => {
    const FAIR_STARTS = ORDINARY_JOBS * ORDINARY_TASKS / usualTrouble.workers;
    it.each([
        ["alone", { hopelessJobs: 0, soundLastingJobs: 0 }],
        ["beside lasting jobs", { hopelessJobs: 0, soundLastingJobs: 16 }],
        ["beside hopeless jobs", { soundLastingJobs: 0 }],
        ["beside hopeless and lasting jobs", { soundLastingJobs: 16 }],
        ["beside many hopeless jobs", { hopelessJobs: 30, hopelessTasks: 1, soundLastingJobs: 16 }],
    ])("gets few tasks of ordinary jobs, all of which complete, %s", async (_name, changes) => {
        expect(await countStartsOnFaulty({ ...usualTrouble, ...changes }, 1)).toBeLessThan(FAIR_STARTS / 4);
    });

    it("gets few of them if it is one of three such workers of 8", async () => {
        const trouble = { ...usualTrouble, hopelessJobs: 0, soundLastingJobs: 0, ordinaryAttempts: 6 };
        expect(await countStartsOnFaulty(trouble, 3)).toBeLessThan(3 * FAIR_STARTS / 4);
    });
});
