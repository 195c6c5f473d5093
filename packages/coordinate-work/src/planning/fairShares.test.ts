import { describe, expect, it } from "@jest/globals";
import type { JobSpec, QueueConfig, StepSpec } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const SEED = 3;
const TASK_MS = 500;
const FOREVER_MS = 600_000;
/** Together the workers run 16 tasks of 2 cores at a time, that is, 32 a second. */
const WORKERS = ["w0", "w1"];
/** Interval between two jobs of the queue without a burst, in milliseconds. */
const QUIET_INTERVAL_MS = 160;
/** The same for the queue with the burst, whose rate is 2.6 times as high for a time. */
const BUSY_INTERVAL_MS = 70;
const BURST_FACTOR = 2.6;
const BURST_MS = 4000;
/** When all jobs have started after the burst, in milliseconds: the backlog is gone after 4 s. */
const DRAINED_MS = 6000;
/** A start that waits this long is late, in milliseconds: longer than a task runs, so that capacity has come free. */
const LATE_START_MS = 800;

/** A long-running task may be without a run for so long, however full the service is, in milliseconds. */
const MAX_LONG_RUNNING_WAIT_MS = 7000;
/** About twice the time that the service needs for all jobs of the random bursts, in milliseconds. */
const RANDOM_DRAINED_MS = 20_000;

/** Submits jobs to queues of one service, and measures how long the jobs wait for their start. */
class QueueScene {
    readonly harness = new CoordinatorHarness(
        createRandom(SEED),
        task => task.jobId.startsWith("long") ? FOREVER_MS : TASK_MS,
    );
    private readonly submittedAtMs = new Map<string, number>();
    private jobs = 0;

    async open(sharesCapacity: boolean): Promise<void> {
        const { harness } = this;
        harness.features = { ...noSchedulingFeatures, sharesCapacity };
        WORKERS.forEach(id => void harness.addWorker(id));
        await harness.clock.runFor(50);
        harness.startTerm(false);
        await harness.clock.runFor(500);
    }

    submit(queue: string, step: Partial<StepSpec>, changes: Partial<QueueConfig> = {}): void {
        const id = `${queue}-${this.jobs++}`;
        const steps = [createStep({ cpuMillis: 2000, memoryMb: 100, estimateMs: TASK_MS, ...step })];
        const spec: JobSpec = { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
        this.submittedAtMs.set(id, this.harness.clock.getNow());
        void this.harness.submit(id, spec, createQueue({ name: queue, ...changes }));
    }

    /** Submits a job of one task to a queue at each interval for some time. */
    submitOften(queue: string, intervalMs: number, forMs: number, changes: Partial<QueueConfig> = {}): void {
        for (let atMs = 0; atMs < forMs; atMs += intervalMs) {
            this.harness.clock.schedule(atMs, () => this.submit(queue, {}, changes));
        }
    }

    /** Counts the running tasks of a queue's jobs. */
    countRunning(queue: string): number {
        let count = 0;
        for (const [jobId, spec] of this.harness.specs) {
            for (let index = 0; jobId.startsWith(queue) && index < spec.steps[0].taskCount; index++) {
                count += Number(this.harness.runChecker.isRunning({ jobId, occurrence: 0, step: 0, index }));
            }
        }
        return count;
    }

    /** Lists how long each job of a queue waited for its first start, in milliseconds; infinite without a start. */
    listWaits(queue: string): number[] {
        const startedAtMs = new Map<string, number>();
        for (const event of this.harness.events) {
            const [, atMs, jobId] = /^(\d+) term \d+ run-order .*?"task":"([^"./:]+)/.exec(event) ?? [];
            if (jobId !== undefined && !startedAtMs.has(jobId)) {
                startedAtMs.set(jobId, Number(atMs));
            }
        }
        return [...this.submittedAtMs].filter(([id]) => id.startsWith(queue))
            .map(([id, atMs]) => (startedAtMs.get(id) ?? Infinity) - atMs);
    }
}

async function runBurst(sharesCapacity: boolean, takeoverMs?: number): Promise<QueueScene> {
    const scene = new QueueScene();
    await scene.open(sharesCapacity);
    // The busy queue's jobs are always the more urgent ones, so that the order by urgency alone prefers them.
    const urgent = { stretch: 1.5, targetLatencyMs: 500 };
    const patient = { stretch: 2, targetLatencyMs: 5000 };
    scene.submitOften("quiet", QUIET_INTERVAL_MS, BURST_MS, patient);
    scene.submitOften("busy", BUSY_INTERVAL_MS / BURST_FACTOR, BURST_MS, urgent);
    if (takeoverMs !== undefined) {
        scene.harness.clock.schedule(takeoverMs, () => scene.harness.startTerm(false));
    }
    await scene.harness.clock.runFor(BURST_MS);
    scene.submitOften("quiet", QUIET_INTERVAL_MS, DRAINED_MS, patient);
    scene.submitOften("busy", BUSY_INTERVAL_MS, DRAINED_MS, urgent);
    await scene.harness.clock.runFor(DRAINED_MS + TASK_MS);
    return scene;
}

describe("Queues of one service and priority", () => {
    // Guards against a burst that takes the capacity of another queue.
    describe("when one of them gets 2.6 times its usual jobs for 4 s", () => {
        it.each([undefined, 2000])("leave the other its share: takeover after %s ms", async takeoverMs => {
            const scene = await runBurst(true, takeoverMs);
            expect(scene.listWaits("quiet").filter(waitMs => waitMs > LATE_START_MS)).toEqual([]);
            expect(scene.harness.runChecker.violations).toEqual([]);
        });

        it("start in the order of urgency alone without the feature", async () => {
            const waits = (await runBurst(false)).listWaits("quiet");
            expect(waits.filter(waitMs => waitMs > LATE_START_MS).length).toBeGreaterThan(waits.length / 4);
        });

        // Guards against demands over the share that never start.
        it.each([true, false])("have all their jobs started within a bound: shares %s", async sharesCapacity => {
            const waits = (await runBurst(sharesCapacity)).listWaits("busy");
            expect(waits.filter(waitMs => waitMs > BURST_MS + DRAINED_MS - TASK_MS)).toEqual([]);
        });
    });

    // Guards against shares that are given to jobs, so that a queue with many jobs gets more than one with few.
    describe("when one has few large jobs and the other one many small ones", () => {
        it("get capacity in turn", async () => {
            const scene = new QueueScene();
            await scene.open(true);
            scene.submitOften("many", 10, BURST_MS);
            await scene.harness.clock.runFor(BURST_MS / 2);
            scene.submit("few", { taskCount: 24 }, { targetLatencyMs: 60_000 });
            await scene.harness.clock.runFor(3 * TASK_MS);
            const starts = scene.harness.events.filter(event =>
                event.includes(" run-order ") && event.includes("few-")
            );
            // Half of the capacity is 16 tasks a second.
            expect(starts.length).toBeGreaterThanOrEqual(16);
        });
    });

    describe("when one holds most of the service with long-running tasks and the other has more short ones than fit", () => {
        // Guards against shares that keep a long-running task without a run (rule 7 of docs/scarce-capacity.md).
        it.each([true, false])(
            "have new long-running tasks and interrupted ones run in time: shares %s",
            async shares => {
                const scene = new QueueScene();
                const { harness } = scene;
                await scene.open(shares);
                scene.submit("long", { taskCount: 10, longRunning: true, cpuMillis: 2000 });
                await harness.clock.runFor(3000);
                scene.submitOften("short", 20, 3 * MAX_LONG_RUNNING_WAIT_MS);
                await harness.clock.runFor(2000);
                scene.submit("long", { taskCount: 2, longRunning: true, cpuMillis: 4000 });
                await harness.clock.runFor(MAX_LONG_RUNNING_WAIT_MS);
                expect(scene.countRunning("long")).toBe(12);
                harness.resetWorker("w0");
                await harness.clock.runFor(MAX_LONG_RUNNING_WAIT_MS);
                expect(scene.countRunning("long")).toBe(12);
                expect(harness.runChecker.violations).toEqual([]);
            },
        );
    });

    describe("with random bursts, takeovers and lost workers", () => {
        // Guards against demands that no round starts, and against more work than a worker's capacity.
        it.each([1, 2, 3, 4, 5, 6])("have all their jobs started soon after the bursts: seed %i", async seed => {
            const random = createRandom(seed);
            const scene = new QueueScene();
            const { harness } = scene;
            await scene.open(true);
            for (const queue of ["north", "south", "west"]) {
                const changes = { targetLatencyMs: random() * 4000, priority: Number(random() < 0.3) };
                const step = { taskCount: Math.ceil(random() * 4), cpuMillis: 500 + Math.floor(random() * 3500) };
                for (let job = 0; job < 40; job++) {
                    const atMs = random() * BURST_MS;
                    harness.clock.schedule(atMs, () => scene.submit(queue, step, changes));
                }
            }
            harness.clock.schedule(random() * BURST_MS, () => harness.startTerm(false));
            harness.clock.schedule(random() * BURST_MS, () => harness.resetWorker("w1"));
            await harness.clock.runFor(BURST_MS + RANDOM_DRAINED_MS);
            const waits = ["north", "south", "west"].flatMap(queue => scene.listWaits(queue));
            expect(waits).toHaveLength(120);
            expect(waits.filter(waitMs => !Number.isFinite(waitMs))).toEqual([]);
            expect(harness.runChecker.violations).toEqual([]);
        });
    });
});
