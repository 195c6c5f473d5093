import { describe, expect, it } from "@jest/globals";
import { OrderOutcome } from "@sardinestage/describe-ports";
import type { StepSpec } from "@sardinestage/describe-work";
import { createRandom, createStep, EmulatedAdvice } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const SEED = 48;
/** A worker has room for four of these tasks. */
const TASK_CPU_MILLIS = 4000;
const TASKS_PER_WORKER = 4;
const TASK_MS = 500;
const TASKS_PER_JOB = 4;
/** By then all work that waits has ended, since at no time more comes than a multiple of what is done in that time. */
const FINISH_MS = 14_000;

/** The time that the service takes for a call of `workers`, and the validity of its tickets, in milliseconds. */
interface AdviceTimes {
    readonly decideMs: number;
    readonly eachMs: number;
    readonly validMs: number;
}

/** Submits jobs of a queue with advice at changing rates to a fleet that its workers' tickets let through. */
class AdviceScenario {
    readonly harness = new CoordinatorHarness(createRandom(SEED), ({ jobId }) => this.durations.get(jobId) ?? TASK_MS);
    readonly advice: EmulatedAdvice;
    readonly durations = new Map<string, number>();
    refusedStarts = 0;
    private jobs = 0;

    constructor(
        private readonly workerCount: number,
        times: AdviceTimes,
        isPermitted?: (jobId: string, workerId: string) => boolean,
        private readonly stated = times,
    ) {
        const { harness } = this;
        this.advice = new EmulatedAdvice(harness.clock, times, isPermitted);
        harness.requestTickets = (...query) => this.advice.requestTickets(...query);
        const start = harness.fleet.start.bind(harness.fleet);
        harness.fleet.start = (worker, order) => {
            const { jobId, occurrence, step } = order.task;
            if (
                !jobId.startsWith("free")
                && !this.advice.isValid(order.ticket, jobId, occurrence, step, worker.id)
            ) {
                this.refusedStarts++;
                return Promise.resolve(OrderOutcome.TicketInvalid);
            }
            return start(worker, order);
        };
    }

    async start(): Promise<void> {
        for (let index = 0; index < this.workerCount; index++) {
            void this.harness.addWorker(`w${index}`);
        }
        await this.harness.clock.runFor(50);
        this.harness.startTerm(false);
        await this.harness.clock.runFor(500);
    }

    /** The rate at which jobs use the given share of the workers, in jobs a second. */
    computeRate(share: number): number {
        return share * this.workerCount * TASKS_PER_WORKER / (TASKS_PER_JOB * TASK_MS / 1000);
    }

    async submitFor(durationMs: number, share: number): Promise<void> {
        const intervalMs = 1000 / this.computeRate(share);
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += intervalMs) {
            this.submit();
            await this.harness.clock.runFor(intervalMs);
        }
    }

    submit(changes: Partial<StepSpec> = {}, steps = 1): string {
        const id = `job${this.jobs++}`;
        const step = createStep({ taskCount: TASKS_PER_JOB, cpuMillis: TASK_CPU_MILLIS, ...changes });
        this.submitSteps(id, Array.from({ length: steps }, () => step));
        return id;
    }

    submitSteps(id: string, steps: readonly StepSpec[]): void {
        const queue = id.startsWith("free")
            ? createQueue({ name: "free" })
            : createQueue({ name: "advised", advice: this.stated, maxAttempts: 50 });
        const spec = { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
        void this.harness.submit(id, spec, queue);
    }

    countUnfinished(): number {
        const { specs, runChecker } = this.harness;
        const tasks = [...specs.values()].flatMap(({ steps }) => steps.map(step => step.taskCount));
        return tasks.reduce((sum, count) => sum + count, 0) - runChecker.completedTasks.size;
    }
}

/** Calm, a burst, calm again, as in the review's case; the shares are of the workers' capacity. */
async function runBurst(scenario: AdviceScenario): Promise<void> {
    await scenario.start();
    await scenario.submitFor(4000, 0.58);
    await scenario.submitFor(6700, 1.35);
    await scenario.submitFor(10_000, 0.58);
    await scenario.harness.clock.runFor(FINISH_MS);
}

// Guards against requests that are too old once they are answered, after which a queue with advice stops for ever
// (review/6, LOST).
describe("A burst on a queue with advice", () => {
    describe.each([
        { name: "as in the review", workers: 12, times: { decideMs: 10, eachMs: 1, validMs: 3000 } },
        { name: "with tickets of half a second", workers: 12, times: { decideMs: 5, eachMs: 0.5, validMs: 500 } },
        { name: "with a long decision", workers: 12, times: { decideMs: 30, eachMs: 0, validMs: 2000 } },
        { name: "with tickets that cost much each", workers: 12, times: { decideMs: 5, eachMs: 15, validMs: 3000 } },
        { name: "with more workers", workers: 24, times: { decideMs: 4, eachMs: 0.2, validMs: 3000 } },
    ])("$name", ({ workers, times }) => {
        it("ends with all work done, and wastes no start", async () => {
            const scenario = new AdviceScenario(workers, times);
            await runBurst(scenario);
            expect(scenario.countUnfinished()).toBe(0);
            expect(scenario.refusedStarts).toBe(0);
        });
    });

    it("ends with all work done if a third of the workers are permitted", async () => {
        const times = { decideMs: 5, eachMs: 0.5, validMs: 3000 };
        const scenario = new AdviceScenario(
            15,
            times,
            (jobId, workerId) => (Number(jobId.slice(3)) + Number(workerId.slice(1))) % 3 === 0,
        );
        await runBurst(scenario);
        expect(scenario.countUnfinished()).toBe(0);
    });

    it("ends with all work done if the coordinator changes in its midst", async () => {
        const scenario = new AdviceScenario(12, { decideMs: 10, eachMs: 1, validMs: 3000 });
        await scenario.start();
        await scenario.submitFor(6000, 1.35);
        scenario.harness.coordinator?.close();
        await scenario.submitFor(2000, 1.35);
        scenario.harness.startTerm(false);
        await scenario.submitFor(6000, 0.58);
        await scenario.harness.clock.runFor(FINISH_MS);
        expect(scenario.countUnfinished()).toBe(0);
    });

    it.each([{ fault: "isSilent" }, { fault: "isRefusing" }] as const)(
        "ends with all work done if the service fails for a while, fault: $fault",
        async ({ fault }) => {
            const scenario = new AdviceScenario(12, { decideMs: 10, eachMs: 1, validMs: 3000 });
            await scenario.start();
            await scenario.submitFor(3000, 0.58);
            scenario.advice.faults[fault] = true;
            await scenario.submitFor(6000, 0.58);
            scenario.advice.faults[fault] = false;
            await scenario.submitFor(6000, 0.58);
            await scenario.harness.clock.runFor(FINISH_MS);
            expect(scenario.countUnfinished()).toBe(0);
        },
    );

    it("leaves a queue without advice beside it alone", async () => {
        const scenario = new AdviceScenario(12, { decideMs: 60, eachMs: 2, validMs: 3000 });
        await scenario.start();
        for (let second = 0; second < 10; second++) {
            scenario.submitSteps(`free${second}`, [createStep({ cpuMillis: 100 })]);
            await scenario.submitFor(1000, 0.9);
        }
        const free = [...scenario.harness.runChecker.completedTasks].filter(key => key.startsWith("free"));
        expect(free.length).toBeGreaterThanOrEqual(9);
    });
});

describe("A queue with advice", () => {
    // Guards against calls that always take longer than their timeout or than the tickets' validity.
    it.each([
        { decideMs: 100, eachMs: 110, validMs: 3000 },
        { decideMs: 3500, eachMs: 1, validMs: 3000 },
        { decideMs: 10, eachMs: 400, validMs: 1000 },
    ])("gets on if a call for all workers takes longer than tickets are valid: %j", async times => {
        const scenario = new AdviceScenario(30, times);
        await scenario.start();
        for (let job = 0; job < 3; job++) {
            scenario.submit();
        }
        await scenario.harness.clock.runFor(30_000);
        expect(scenario.countUnfinished()).toBe(0);
    });

    it("gets on if the service is a hundred times slower than its queue states", async () => {
        const slow = { decideMs: 1000, eachMs: 100, validMs: 3000 };
        const scenario = new AdviceScenario(30, slow, undefined, { decideMs: 10, eachMs: 1, validMs: 3000 });
        await scenario.start();
        for (let job = 0; job < 3; job++) {
            scenario.submit();
        }
        await scenario.harness.clock.runFor(60_000);
        expect(scenario.countUnfinished()).toBe(0);
    });

    it("finds the two workers of many that a step is permitted on", async () => {
        const scenario = new AdviceScenario(
            90,
            { decideMs: 10, eachMs: 1, validMs: 3000 },
            (_jobId, workerId) => workerId === "w44" || workerId === "w77",
        );
        await scenario.start();
        for (let job = 0; job < 20; job++) {
            scenario.submit({ taskCount: 1 });
        }
        await scenario.harness.clock.runFor(FINISH_MS);
        expect(scenario.countUnfinished()).toBe(0);
    });

    it("starts gangs, which need tickets for many workers at once", async () => {
        const scenario = new AdviceScenario(12, { decideMs: 10, eachMs: 1, validMs: 2000 });
        await scenario.start();
        for (let job = 0; job < 10; job++) {
            scenario.submit({ taskCount: 24, gang: true });
        }
        await scenario.harness.clock.runFor(FINISH_MS);
        expect(scenario.countUnfinished()).toBe(0);
    });

    it("starts the many steps of one job as soon as those of many jobs", async () => {
        const scenario = new AdviceScenario(12, { decideMs: 10, eachMs: 1, validMs: 3000 });
        await scenario.start();
        scenario.submit({ taskCount: 1 }, 300);
        await scenario.harness.clock.runFor(FINISH_MS);
        expect(scenario.countUnfinished()).toBe(0);
    });

    it("goes on at once when its workers have restarted, with new tickets", async () => {
        const scenario = new AdviceScenario(4, { decideMs: 10, eachMs: 1, validMs: 60_000 });
        await scenario.start();
        const id = scenario.submit({ taskCount: 8, longRunning: true });
        scenario.durations.set(id, Infinity);
        await scenario.harness.clock.runFor(3000);
        expect(scenario.harness.runChecker.countActiveRuns()).toBe(8);
        for (let index = 0; index < 4; index++) {
            scenario.harness.resetWorker(`w${index}`);
        }
        await scenario.harness.clock.runFor(6000);
        expect(scenario.harness.runChecker.countActiveRuns()).toBe(8);
    });

    it("asks for nothing once no step waits", async () => {
        const scenario = new AdviceScenario(12, { decideMs: 10, eachMs: 1, validMs: 3000 });
        await scenario.start();
        scenario.submit();
        await scenario.harness.clock.runFor(5000);
        const { handledCalls } = scenario.advice;
        await scenario.harness.clock.runFor(20_000);
        expect(scenario.advice.handledCalls).toBe(handledCalls);
    });
});
