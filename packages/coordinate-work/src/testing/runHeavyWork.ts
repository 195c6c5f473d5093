import type { JobSpec } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "./coordinatorHarness.js";
import { createQueue } from "./createQueue.js";
import { HeavyScenario } from "./heavyScenario.js";

const SEED = 20261205;
const WORKER_COUNT = 8;
const TASK_MS = 300;
const INTERVAL_MS = 300_000;
const OCCURRENCES = 105_120;
const NEXT_DUE_MS = 2000;
const STEPS = 30;
const TASKS_PER_STEP = 10_000;
/** Length of each of the two terms, in milliseconds. */
const TERM_MS = 6000;
/** Time after the cancellation, in milliseconds. */
const CANCELLED_MS = 4000;

function createSchedule(wallNowMs: number, stepCount: number): JobSpec {
    const steps = Array.from(
        { length: stepCount },
        (_unused, index) =>
            createStep({ taskCount: 4, cpuMillis: 500, memoryMb: 128, dependsOn: index === 0 ? [] : [index - 1] }),
    );
    // The last occurrence comes due while the scenario is played.
    const firstRunMs = wallNowMs + NEXT_DUE_MS - (OCCURRENCES - 1) * INTERVAL_MS;
    return { payload: "", steps, repeatCount: OCCURRENCES, firstRunMs, intervalMs: INTERVAL_MS };
}

function createLargeJob(isChain: boolean): JobSpec {
    const steps = Array.from({ length: STEPS }, (_unused, index) =>
        createStep({
            taskCount: TASKS_PER_STEP,
            cpuMillis: 500,
            memoryMb: 128,
            dependsOn: isChain && index > 0 ? [index - 1] : [],
        }));
    return { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

function listHeavyJobs(scenario: HeavyScenario, wallNowMs: number): readonly JobSpec[] {
    switch (scenario) {
        case HeavyScenario.OverdueSchedule:
            return [createSchedule(wallNowMs, 1)];
        case HeavyScenario.WideJob:
            return [createLargeJob(false)];
        case HeavyScenario.LongJob:
            return [createLargeJob(true)];
        case HeavyScenario.ManyJobs:
            return Array.from(
                { length: 124 },
                (_unused, index) => index < 24 ? createLargeJob(index % 2 === 0) : createSchedule(wallNowMs, 5),
            );
    }
}

/**
 * Plays unusually large work beside small jobs: one that is there before, one after a takeover, and at last the large
 * work is cancelled. Prints what became of it as JSON. Runs in a process of its own, with the memory of an entry VM.
 */
async function runHeavyWork(scenario: HeavyScenario): Promise<void> {
    const harness = new CoordinatorHarness(createRandom(SEED), () => TASK_MS);
    const { clock, runChecker } = harness;
    const small = (id: string) => {
        const steps = [createStep({ taskCount: 4 }), createStep({ taskCount: 4, dependsOn: [0] })];
        const spec = { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
        return harness.submit(id, spec, createQueue());
    };
    const countDone = (id: string) => [...runChecker.completedTasks].filter(key => key.startsWith(`${id}/`)).length;
    for (let index = 0; index < WORKER_COUNT; index++) {
        void harness.addWorker(`w${index}`);
    }
    await clock.runFor(50);
    harness.startTerm(false);
    void small("earlier");
    await clock.runFor(200);
    const specs = listHeavyJobs(scenario, clock.getWallTime());
    specs.forEach((spec, index) => void harness.submit(`heavy${index}`, spec, createQueue()));
    await clock.runFor(TERM_MS);
    const newestStarted =
        [...runChecker.completedTasks].filter(key => key.startsWith(`heavy0/${OCCURRENCES - 1}/`)).length;
    const doneInFirstTerm = runChecker.completedTasks.size;
    const pending = harness.coordinator?.getPending("queue");
    harness.coordinator?.close();
    harness.startTerm(false);
    void small("later");
    await clock.runFor(TERM_MS);
    const doneInBothTerms = runChecker.completedTasks.size;
    specs.forEach((_spec, index) => void harness.cancel(`heavy${index}`));
    await clock.runFor(CANCELLED_MS);
    process.stdout.write(`${
        JSON.stringify({
            earlierDone: countDone("earlier"),
            laterDone: countDone("later"),
            newestStarted,
            doneInFirstTerm,
            doneInBothTerms,
            pending,
            activeAfterCancel: runChecker.countActiveRuns(),
            violations: runChecker.violations.length,
            storedParts: await harness.countProgressParts(),
            heapUsedMb: Math.round(process.memoryUsage().heapUsed / 1_000_000),
        })
    }\n`);
    harness.coordinator?.close();
}

await runHeavyWork(process.argv[2] as HeavyScenario);
