import { describe, expect, it } from "@jest/globals";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const SEEDS = Array.from({ length: 150 }, (_unused, index) => 20261207 + index);
const WORKERS = ["w0", "w1", "w2", "w3", "w4"];
const JOBS = 6;
const FAILED_SHARE = 0.3;
/** Long enough for starts that aren't recorded. */
const OUTAGE_MS = 6500;
const TAKEOVERS = 2;
/** A worker answers at most so many calls of a coordinator before the link is cut. */
const MAX_ANSWERS = 4;
/** Time for all jobs to end after the last takeover, in milliseconds: longer than every lease. */
const SETTLE_MS = 60_000;

/** Takeovers after an outage of the store, in which each coordinator loses some workers after their first answers. */
async function runTakeovers(seed: number): Promise<CoordinatorHarness> {
    const random = createRandom(seed);
    const harness = new CoordinatorHarness(random, () => {
        const durationMs = 500 + random() * 5000;
        return random() < FAILED_SHARE ? -durationMs : durationMs;
    });
    harness.endsAuthority = true;
    WORKERS.forEach(id => void harness.addWorker(id));
    await harness.clock.runFor(50);
    harness.startTerm(false);
    await harness.clock.runFor(500);
    for (let job = 0; job < JOBS; job++) {
        const steps = [0, 1].map(step =>
            createStep({ taskCount: 1 + Math.floor(random() * 6), dependsOn: step === 0 ? [] : [0] })
        );
        const spec = { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
        void harness.submit(`job${job}`, spec, createQueue({ maxAttempts: 50 }));
    }
    await harness.clock.runFor(random() * 1500);
    harness.store.faults.isDown = true;
    await harness.clock.runFor(OUTAGE_MS);
    harness.store.faults.isDown = false;
    for (let takeover = 0; takeover < TAKEOVERS; takeover++) {
        const answersLeft = new Map<string, number>();
        const ordinal = harness.termCount + 1;
        WORKERS.filter(() => random() < 0.4)
            .forEach(id => answersLeft.set(id, Math.floor(random() * (MAX_ANSWERS + 1))));
        harness.isCutOff = (termOrdinal, workerId) => {
            const left = answersLeft.get(workerId);
            if (termOrdinal !== ordinal || left === undefined) {
                return false;
            }
            answersLeft.set(workerId, left - 1);
            return left <= 0;
        };
        harness.coordinator?.close();
        harness.startTerm(true);
        await harness.clock.runFor(random() * 9000);
    }
    harness.isCutOff = () => false;
    await harness.clock.runFor(SETTLE_MS);
    return harness;
}

// Guards against a successor that starts a task elsewhere while an unrecorded run of it is active on a silent worker.
describe("Takeovers that find unrecorded runs and lose workers after their first answers", () => {
    it.each(SEEDS)("run no task twice, and finish all jobs, seed %d", async seed => {
        const harness = await runTakeovers(seed);
        expect(harness.runChecker.violations).toEqual([]);
        const tasks = [...harness.specs.values()].flatMap(spec => spec.steps.map(step => step.taskCount));
        expect(harness.runChecker.completedTasks.size).toBe(tasks.reduce((sum, count) => sum + count, 0));
    });
});
