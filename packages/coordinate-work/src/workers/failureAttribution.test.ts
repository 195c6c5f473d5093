import { beforeEach, describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import { RunEnd } from "@sardinestage/describe-work";
import { VirtualClock } from "@sardinestage/emulate-platform";
import { WorkerTrust } from "@sardinestage/plan-starts";
import type { Task } from "@sardinestage/track-jobs";
import { applyRunEnd, applyRunStart } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import { createLongRunningTask } from "../testing/createLongRunningTask.js";
import { createTrackedWorker } from "../testing/createTrackedWorker.js";
import { FailureAttribution } from "./failureAttribution.js";
import type { TrackedWorker } from "./trackedWorker.js";

const WORKERS = 8;
const FAILING_MS = 100;
const FORGOTTEN_MS = 31_000;
/** Failures that put a worker on probation. */
const MIN_FAILURES = 3;

let clock: VirtualClock;
let workers: TrackedWorker[];
let attribution: FailureAttribution;

/** Starts a run of a task on a worker and has it fail. */
async function runFailing(worker: TrackedWorker, task: Task): Promise<void> {
    applyRunStart(task, worker.entry.id, task.run + 1, clock.getNow());
    await clock.runFor(FAILING_MS);
    attribution.noteFailedRun(worker, task);
    applyRunEnd(task, { run: task.run, end: RunEnd.Failed, checkpoint: "" }, clock.getWallTime());
}

/** Fails runs of as many jobs as it takes to put a worker on probation. */
async function runManyFailing(worker: TrackedWorker): Promise<readonly Task[]> {
    const tasks = Array.from({ length: MIN_FAILURES }, () => createLongRunningTask());
    for (const task of tasks) {
        await runFailing(worker, task);
    }
    return tasks;
}

describe("FailureAttribution", () => {
    beforeEach(() => {
        clock = new VirtualClock();
        workers = Array.from({ length: WORKERS }, (_unused, index) => createTrackedWorker(`w${index}`));
        const logger = { info: () => undefined, warn: () => undefined, error: () => undefined };
        const rules = { features: noSchedulingFeatures };
        const parts = { clock, logger, metrics: new Metrics(), rules } as unknown as CoordinatorParts;
        attribution = new FailureAttribution(parts, { listWorkers: () => workers });
    });

    describe("when runs of several jobs fail on one worker", () => {
        it("puts the worker on probation and makes it suspect", async () => {
            await runManyFailing(workers[0]);
            expect(workers[0].isOnTrial).toBe(true);
            expect(workers[0].recentEnds.estimateTrust(clock.getNow())).toBe(WorkerTrust.Suspect);
        });

        it("ends the trial if nothing has failed there for long", async () => {
            await runManyFailing(workers[0]);
            await clock.runFor(FORGOTTEN_MS);
            attribution.updateActiveRuns(workers[0]);
            expect(workers[0].isOnTrial).toBe(false);
        });

        it("restores the worker once these tasks have failed elsewhere too", async () => {
            const tasks = await runManyFailing(workers[0]);
            for (const task of tasks) {
                await runFailing(workers[1], task);
                await runFailing(workers[2], task);
            }
            expect(tasks.map(task => task.failsEverywhere)).toEqual([true, true, true]);
            expect(workers.filter(worker => worker.isOnTrial)).toEqual([]);
            expect(workers[0].recentEnds.estimateTrust(clock.getNow())).toBe(WorkerTrust.Unknown);
        });
    });

    describe("when runs of several jobs fail on every worker", () => {
        it("puts at most half of the workers on probation", async () => {
            for (const worker of workers) {
                await runManyFailing(worker);
            }
            expect(workers.filter(worker => worker.isOnTrial)).toHaveLength(WORKERS / 2);
        });

        it("counts only workers that may run the same tasks", async () => {
            workers.slice(2).forEach(worker => worker.entry = { ...worker.entry, labels: ["other kind"] });
            await runManyFailing(workers[0]);
            await runManyFailing(workers[1]);
            expect(workers.map(worker => worker.isOnTrial)).toEqual([true, ...Array<boolean>(WORKERS - 1).fill(false)]);
        });
    });

    describe("when a task of a step fails at several places while others of the step succeed", () => {
        it("counts the task as failing everywhere, but not its step", async () => {
            const task = createLongRunningTask({ taskCount: 2 });
            const other = task.step.getTask(1);
            for (const worker of workers.slice(0, 3)) {
                await runFailing(worker, task);
                attribution.noteDoneRun(worker, other, false);
            }
            expect(task.failsEverywhere).toBe(true);
            expect(other.failsEverywhere).toBe(false);
        });
    });

    describe("when all tasks of a step fail, each on another worker", () => {
        it("counts the step as failing everywhere, so that its other tasks count against no worker", async () => {
            const { step } = createLongRunningTask({ taskCount: 4 });
            for (const index of [0, 1, 2]) {
                await runFailing(workers[index], step.getTask(index));
            }
            await runFailing(workers[3], step.getTask(3));
            expect(step.getTask(3).failsEverywhere).toBe(true);
            expect(workers[3].failures).toEqual([]);
        });
    });

    describe("when tasks of a step fail on some workers and others of it are at work elsewhere", () => {
        it("counts neither as failing everywhere", async () => {
            const { step } = createLongRunningTask({ taskCount: 6 });
            [3, 4, 5].forEach(index => applyRunStart(step.getTask(index), `w${index}`, 1, clock.getNow()));
            for (const index of [0, 1, 2]) {
                await runFailing(workers[index], step.getTask(index));
            }
            expect(step.getTask(0).failsEverywhere).toBe(false);
            expect(workers[0].failures).toHaveLength(1);
        });
    });

    describe("when a task fails on one worker again and again", () => {
        it("doesn't count it as failing everywhere while nothing succeeds there", async () => {
            const task = createLongRunningTask();
            for (let run = 0; run < 10; run++) {
                await runFailing(workers[0], task);
            }
            expect(task.failsEverywhere).toBe(false);
        });

        it("counts it as failing everywhere if other runs succeed there in between", async () => {
            const task = createLongRunningTask();
            for (let run = 0; run < 3; run++) {
                await runFailing(workers[0], task);
                attribution.noteDoneRun(workers[0], createLongRunningTask(), true);
            }
            expect(task.failsEverywhere).toBe(true);
        });
    });

    describe("when a task that has failed everywhere succeeds", () => {
        it("counts its next failure against the worker again", async () => {
            const task = createLongRunningTask();
            for (const worker of workers.slice(0, 3)) {
                await runFailing(worker, task);
            }
            expect(task.failsEverywhere).toBe(true);
            attribution.noteDoneRun(workers[3], task, true);
            await runFailing(workers[4], task);
            expect(task.failsEverywhere).toBe(false);
            expect(workers[4].failures).toHaveLength(1);
        });
    });
});
