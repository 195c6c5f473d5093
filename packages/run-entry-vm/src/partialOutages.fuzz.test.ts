import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import { Topic } from "@sardinestage/describe-ports";
import type { QueueConfig } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { TakeoverHarness } from "./testing/takeoverHarness.js";

const SEEDS = Array.from({ length: 40 }, (_unused, index) => 20261207 + index);
const VMS = ["a", "b", "c", "d"];
const WORKERS = ["w0", "w1", "w2", "w3", "w4"];
const TOPICS = [Topic.Jobs, Topic.Progress, Topic.Workers];
const LASTING_TASKS = 10;
const ROUNDS = 3;
/** Shortest and longest outage of a part of the store, in milliseconds. */
const MIN_OUTAGE_MS = 1000;
const MAX_OUTAGE_MS = 8000;
/** Longest time for which a worker is cut off, in milliseconds. */
const MAX_CUT_MS = 9000;
/** Time between two rounds, and at the end: longer than every lease, takeover and probation, in milliseconds. */
const ROUND_MS = 12_000;
const SETTLE_MS = 45_000;
const queue: QueueConfig = {
    name: "queue",
    host: "host",
    pathPrefix: "/queue/",
    service: "service",
    priority: 0,
    maxAttempts: 50,
    stretch: 2,
    targetLatencyMs: 1000,
};

/** Takeovers while a part of the store can't be reached, and workers, coordinators and their successors are lost. */
class PartialOutageScenario {
    readonly harness: TakeoverHarness;
    private jobs = 0;

    constructor(private readonly random: () => number, usesRelays: boolean) {
        this.harness = new TakeoverHarness(
            random,
            ({ jobId }) => jobId.startsWith("lasting") ? Infinity : 300 + random() * 4000,
            usesRelays,
        );
    }

    async run(): Promise<void> {
        const { harness } = this;
        VMS.forEach(vm => harness.startVm(vm));
        WORKERS.forEach(id => harness.addWorker(id));
        await harness.clock.runFor(3000);
        this.submit("lasting", LASTING_TASKS, true);
        await harness.clock.runFor(2000);
        for (let round = 0; round < ROUNDS; round++) {
            await this.runRound();
        }
        await harness.clock.runFor(SETTLE_MS);
    }

    private async runRound(): Promise<void> {
        const { harness, random } = this;
        const { clock } = harness;
        this.submit(`job${this.jobs++}`, 1 + Math.floor(random() * 8), false);
        await clock.runFor(random() * 1500);
        const outageMs = MIN_OUTAGE_MS + random() * (MAX_OUTAGE_MS - MIN_OUTAGE_MS);
        this.injectOutage(outageMs);
        this.schedule(random() * 600, () => this.stopCoordinator());
        if (random() < 0.4) {
            this.schedule(random() * outageMs, () => this.stopCoordinator());
        }
        for (let cut = 0; cut < 2; cut++) {
            this.schedule(random() * outageMs, () => this.injectCut());
        }
        this.submit(`job${this.jobs++}`, 1 + Math.floor(random() * 8), false);
        await clock.runFor(ROUND_MS);
    }

    private injectOutage(outageMs: number): void {
        const { silentTopics, refusedTopics } = this.harness.store.faults;
        const faulty = this.random() < 0.6 ? silentTopics : refusedTopics;
        const first = Math.floor(this.random() * TOPICS.length);
        faulty.add(TOPICS[first]);
        if (this.random() < 0.3) {
            faulty.add(TOPICS[(first + 1) % TOPICS.length]);
        }
        this.schedule(outageMs, () => faulty.clear());
    }

    private submit(id: string, taskCount: number, longRunning: boolean): void {
        const steps = [createStep({ taskCount, longRunning })];
        this.harness.submit(id, { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 }, queue);
    }

    private stopCoordinator(): void {
        const { harness, random } = this;
        const vm = harness.coordinator;
        if (vm !== undefined && harness.vms.length > 1) {
            harness.stopVm(vm);
            this.schedule(500 + random() * 3000, () => harness.startVm(vm));
        }
    }

    private injectCut(): void {
        const { harness, random } = this;
        const workers = [...harness.fleet.workers.values()];
        const worker = workers[Math.floor(random() * workers.length)];
        worker.isUnreachable = true;
        this.schedule(500 + random() * MAX_CUT_MS, () => worker.isUnreachable = false);
    }

    private schedule(delayMs: number, run: () => void): void {
        this.harness.clock.schedule(delayMs, run);
    }
}

// Guards against a coordinator or a try of one that forgets what was ordered in its term before (review/8, TWICE).
describe("Takeovers while a part of the store can't be reached", () => {
    let random: () => number;

    beforeEach(() => {
        jest.spyOn(Math, "random").mockImplementation(() => random());
    });

    afterEach(() => {
        jest.restoreAllMocks();
    });

    describe.each([{ usesRelays: false }, { usesRelays: true }])("with relays: $usesRelays", ({ usesRelays }) => {
        it.each(SEEDS)("run no task twice, finish all jobs and go on with what lasts, seed %d", async seed => {
            random = createRandom(seed);
            const scenario = new PartialOutageScenario(random, usesRelays);
            await scenario.run();
            const { runChecker, specs } = scenario.harness;
            expect(runChecker.violations).toEqual([]);
            const ending = [...specs].filter(([id]) => id !== "lasting").map(([, spec]) => spec.steps[0].taskCount);
            expect(runChecker.completedTasks.size).toBe(ending.reduce((sum, count) => sum + count, 0));
            expect(runChecker.countActiveRuns()).toBe(LASTING_TASKS);
        });
    });
});
