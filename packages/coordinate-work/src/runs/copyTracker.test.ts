import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const WORKERS = 4;
const USUAL_MS = 600;
const FOREVER_MS = 600_000;
/** Tasks that hold enough processor for one copy to be within a tenth of it. */
const BACKGROUND_TASKS = 12;
const STOP_BOUND_MS = 4000;

function createSpec(taskCount: number, image: string): JobSpec {
    const steps = [createStep({ taskCount, image, speculative: image === "usual", estimateMs: USUAL_MS })];
    return { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

/**
 * Runs usual tasks until their durations are known, and then the job "slow" until its only task has a copy.
 *
 * @param durations Durations of the slow task's runs, in milliseconds; negative for a run that fails. Further ones don't end.
 */
async function startCopy(durations: readonly number[]): Promise<CoordinatorHarness> {
    const harness = new CoordinatorHarness(() => 0.5, ({ jobId }, run) => {
        const own = jobId === "slow" ? durations.at(run - 1) ?? FOREVER_MS : USUAL_MS;
        return jobId === "background" ? FOREVER_MS : own;
    });
    harness.features = { ...noSchedulingFeatures, copiesSlowTasks: true };
    for (let index = 0; index < WORKERS; index++) {
        void harness.addWorker(`w${index}`);
    }
    await harness.clock.runFor(50);
    harness.startTerm(false);
    void harness.submit("background", createSpec(BACKGROUND_TASKS, "other"), createQueue());
    void harness.submit("usual", createSpec(20, "usual"), createQueue());
    await harness.clock.runFor(3000);
    void harness.submit("slow", createSpec(1, "usual"), createQueue({ maxAttempts: 2 }));
    for (let waitedMs = 0; waitedMs < 3000 && !hasEvent(harness, "copy-started"); waitedMs++) {
        // Stops before the start order is sent.
        await harness.clock.runFor(1);
    }
    expect(hasEvent(harness, "copy-started")).toBe(true);
    return harness;
}

function hasEvent(harness: CoordinatorHarness, words: string): boolean {
    return harness.events.some(event => event.includes(words));
}

/** Lists the logged ends of copies: their runs and results. */
function listEnds(harness: CoordinatorHarness): string[] {
    return harness.events.flatMap(event => {
        const [, run, result] = /copy-ended.*"run":(\d+).*"result":"([\w-]+)"/.exec(event) ?? [];
        return run === undefined ? [] : [`${run} ${result}`];
    });
}

async function checkEnd(harness: CoordinatorHarness, state: JobState): Promise<void> {
    await harness.clock.runFor(STOP_BOUND_MS);
    expect(await harness.coordinator?.getState("slow")).toBe(state);
    expect(harness.runChecker.countActiveRuns()).toBe(BACKGROUND_TASKS);
    expect(harness.runChecker.violations).toEqual([]);
    expect(harness.events.filter(event => event.includes("job-ended") && event.includes("\"slow\"")).length).toBe(1);
}

// Guards against runs of a copied task that go on after its end, and attempts that are counted twice or not at all.
describe("A task with a copy", () => {
    it("is done with the copy's end, and its own run is stopped", async () => {
        await checkEnd(await startCopy([FOREVER_MS, USUAL_MS]), JobState.Completed);
    });

    it("is done with its own end, and the copy is stopped", async () => {
        await checkEnd(await startCopy([1500, FOREVER_MS]), JobState.Completed);
    });

    it("has both runs stopped when its job is cancelled", async () => {
        const harness = await startCopy([FOREVER_MS, FOREVER_MS]);
        await harness.clock.runFor(500);
        void harness.cancel("slow");
        await checkEnd(harness, JobState.Cancelled);
    });

    it("goes on with its own run if the copy fails, and fails with the second failure", async () => {
        await checkEnd(await startCopy([2500, -USUAL_MS]), JobState.Completed);
        await checkEnd(await startCopy([-2500, -USUAL_MS]), JobState.Failed);
    });

    it("goes on with the copy if its own run fails", async () => {
        await checkEnd(await startCopy([-1200, 1500, FOREVER_MS]), JobState.Completed);
    });

    it("is completed by the older run's end after a takeover", async () => {
        const harness = await startCopy([1500, FOREVER_MS, FOREVER_MS]);
        await harness.clock.runFor(100);
        harness.coordinator?.close();
        await harness.clock.runFor(1500);
        harness.startTerm(false);
        await harness.clock.runFor(1000);
        await checkEnd(harness, JobState.Completed);
    });

    // Guards against a run that counts on its worker for the rest of the term, and a job that stays open as long.
    it("is closed although the start of its own next run was under way as the copy ended", async () => {
        const harness = await startCopy([-1500, 900, FOREVER_MS]);
        const { faults } = harness.fleet;
        await harness.clock.runFor(100);
        Object.assign(faults, { delayedShare: 1, minDelayMs: 60_000, maxDelayMs: 60_000 });
        await harness.clock.runFor(700);
        faults.delayedShare = 0;
        await checkEnd(harness, JobState.Completed);
        expect(hasEvent(harness, "start-unanswered")).toBe(true);
        const summary = harness.events.filter(event => event.includes("fleet-summary")).at(-1);
        expect(summary).toContain(`"jobs":1,"waiting":0,"tasks":${BACKGROUND_TASKS}`);
    });

    // Guards against copies whose end can't be told from the log: each copy-started has its copy-ended.
    describe("that isn't started", () => {
        it("has its end logged if the worker refuses it", async () => {
            const harness = await startCopy([FOREVER_MS, USUAL_MS, USUAL_MS]);
            harness.fleet.faults.unhealthyShare = 1;
            await harness.clock.runFor(100);
            harness.fleet.faults.unhealthyShare = 0;
            expect(hasEvent(harness, "\"outcome\":\"Unhealthy\"")).toBe(true);
            expect(listEnds(harness)).toEqual(["2 refused"]);
            await checkEnd(harness, JobState.Completed);
        });

        it("has its end logged if its start isn't sent", async () => {
            const harness = await startCopy([FOREVER_MS, USUAL_MS, USUAL_MS]);
            harness.hasAuthority = false;
            await harness.clock.runFor(100);
            harness.hasAuthority = true;
            expect(hasEvent(harness, "\"outcome\":\"Unsent\"")).toBe(true);
            expect(listEnds(harness)).toEqual(["2 never-sent"]);
            await checkEnd(harness, JobState.Completed);
        });
    });

    it("has a copy that would start late prevented or stopped", async () => {
        const harness = await startCopy([2000, FOREVER_MS]);
        const { faults } = harness.fleet;
        Object.assign(faults, { delayedShare: 1, minDelayMs: 3000, maxDelayMs: 3000 });
        await harness.clock.runFor(100);
        faults.delayedShare = 0;
        await harness.clock.runFor(4000);
        await checkEnd(harness, JobState.Completed);
    });
});
