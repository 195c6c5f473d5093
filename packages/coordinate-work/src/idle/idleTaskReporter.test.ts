import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { Job, openDueOccurrences } from "@sardinestage/track-jobs";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";
import { IdleReason } from "./idleReason.js";
import { IdleTaskReporter } from "./idleTaskReporter.js";

/** A long-running task without a run for so long is due to be reported, in milliseconds. */
const REPORTED_AFTER_MS = 3000;
const CHECK_MS = 250;
/** Unix milliseconds. */
const ACCEPTED_AT_MS = 1;

function createSpec(longRunning: boolean, taskCount = 2): JobSpec {
    const steps = [createStep({ longRunning, taskCount })];
    return { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

function createJob(longRunning: boolean): Job {
    const job = new Job("job", createSpec(longRunning), createQueue(), ACCEPTED_AT_MS);
    openDueOccurrences(job, ACCEPTED_AT_MS);
    const [step] = [...job.openOccurrences.values()][0].steps;
    step.listWaiting(2);
    return job;
}

/** Collects the lines of checks each 250 ms, for a job whose tasks wait for a reason that may change with time. */
function collectLines(
    job: Job,
    lengthMs: number,
    getReason: (nowMs: number) => IdleReason,
    acceptedMsAgo = 0,
): object[] {
    const lines: object[] = [];
    const note = (event: string, fields?: object) => lines.push({ event, ...fields });
    let nowMs = 0;
    const parts = {
        clock: { getWallTime: () => ACCEPTED_AT_MS + acceptedMsAgo + nowMs },
        logger: { info: note, warn: note, error: note },
        metrics: new Metrics(),
    };
    const reporter = new IdleTaskReporter(parts, () => [job], {
        findWorker: () => undefined,
        explainWaiting: () => getReason(nowMs),
    });
    for (; nowMs <= lengthMs; nowMs += CHECK_MS) {
        reporter.reportIdle(nowMs);
    }
    return lines;
}

describe("IdleTaskReporter", () => {
    describe("when long-running tasks that are due have no run", () => {
        it("logs nothing before the bound", () => {
            const lines = collectLines(createJob(true), REPORTED_AFTER_MS - 1, () => IdleReason.Memory);
            expect(lines).toEqual([]);
        });

        it("logs a line a second from then on, with the reason, its age and the number of tasks", () => {
            const lines = collectLines(createJob(true), REPORTED_AFTER_MS + 2000, () => IdleReason.Memory);
            expect(lines).toMatchObject([
                { event: "long-running-idle", reason: "Memory", tasks: 2, oldest: "job/0/0/0", idleMs: 3000 },
                { reason: "Memory", tasks: 2, idleMs: 4000 },
                { reason: "Memory", tasks: 2, idleMs: 5000 },
            ]);
        });

        it("tells the age of the present reason from the time without a run", () => {
            const getReason = (nowMs: number) => nowMs < 2000 ? IdleReason.Memory : IdleReason.Processor;
            const lines = collectLines(createJob(true), REPORTED_AFTER_MS, getReason);
            expect(lines).toMatchObject([{ reason: "Processor", idleMs: 3000, reasonMs: 1000 }]);
        });
    });

    describe("when tasks that have never run wait since before a takeover", () => {
        it("tells their age since the job was accepted", () => {
            const lines = collectLines(createJob(true), 0, () => IdleReason.Processor, 8000);
            expect(lines).toMatchObject([{ reason: "Processor", idleMs: 8000, reasonMs: 0 }]);
        });

        it("tells the age in this term of tasks that have run", () => {
            const job = createJob(true);
            [...job.openOccurrences.values()][0].steps[0].tasks.forEach(task => task.run = 1);
            expect(collectLines(job, REPORTED_AFTER_MS, () => IdleReason.Processor, 8000)).toMatchObject([
                { idleMs: 3000 },
            ]);
        });
    });

    describe("when tasks that run to completion wait", () => {
        it("logs nothing", () => {
            expect(collectLines(createJob(false), 10_000, () => IdleReason.Memory)).toEqual([]);
        });
    });

    describe("when a worker goes", () => {
        it("says that the worker is silent, and nothing any more once the tasks run elsewhere", async () => {
            const harness = new CoordinatorHarness(() => 0.5, () => 600_000);
            void harness.addWorker("w0");
            await harness.clock.runFor(50);
            harness.startTerm(false);
            void harness.submit("job", createSpec(true), createQueue());
            await harness.clock.runFor(3000);
            void harness.addWorker("w1");
            harness.stopWorker("w0");
            await harness.clock.runFor(10_000);
            expect(harness.runChecker.countActiveRuns()).toBe(2);
            const listLines = () => harness.events.filter(event => event.includes("long-running-idle"));
            const lines = listLines();
            expect(lines.length).toBeGreaterThan(0);
            expect(lines.every(line => line.includes("WorkerSilent") || line.includes("WorkerUnlisted"))).toBe(true);
            await harness.clock.runFor(10_000);
            expect(listLines()).toEqual(lines);
        });
    });
});
