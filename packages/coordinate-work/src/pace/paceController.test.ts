import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import { OrderOutcome } from "@sardinestage/describe-ports";
import type { StepSpec, TaskRef, WorkerEntry } from "@sardinestage/describe-work";
import { createStep, VirtualClock } from "@sardinestage/emulate-platform";
import { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { Task } from "@sardinestage/track-jobs";
import { Job, openOccurrence, TaskPhase } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import type { OrderSender } from "../orders/orderSender.js";
import { createQueue } from "../testing/createQueue.js";
import { TrackedWorker } from "../workers/trackedWorker.js";
import { HeadroomTracker } from "./headroomTracker.js";
import { PaceController } from "./paceController.js";

const HARM_MS = 4500;
const TARGET_MS = 100;
const FULL_PERCENT = 100;
const BEST_EFFORT = createStep({ image: "best-effort", cpuMillis: 8000, isBestEffort: true });
const SERVING = createStep({ image: "serving", tailLatencyTargetMs: TARGET_MS, longRunning: true });

interface SentPace {
    readonly atMs: number;
    readonly job: string;
    readonly percent: number;
}

/** A pace controller with one worker, whose answers and their delay the test sets. */
class ControllerHarness {
    readonly clock = new VirtualClock();
    readonly paces: SentPace[] = [];
    readonly stops: { readonly atMs: number; readonly task: Task }[] = [];
    readonly worker = new TrackedWorker(
        { id: "w", capacity: { cpuMillis: 16_000 } } as unknown as WorkerEntry,
        () => 0,
        () => 1,
    );
    readonly estimator = new HeadroomEstimator();
    readonly headroomTracker = new HeadroomTracker(this.estimator);
    private readonly controller: PaceController;
    outcome = OrderOutcome.Accepted;
    answerMs = 0;

    constructor() {
        const workers = {
            pace: (_worker: unknown, task: TaskRef, _run: number, percent: number) => {
                this.paces.push({ atMs: this.clock.getNow(), job: task.jobId, percent });
                return new Promise(resolve => this.clock.schedule(this.answerMs, () => resolve(this.outcome)));
            },
        };
        const parts = {
            clock: this.clock,
            workers,
            term: 1,
            rules: { harmMs: HARM_MS, paceMs: 100 },
            metrics: new Metrics(),
            getLoopDelay: () => 0,
        } as unknown as CoordinatorParts;
        const orders = {
            sendStop: (task: Task) => {
                task.phase = TaskPhase.Stopping;
                this.stops.push({ atMs: this.clock.getNow(), task });
            },
        } as unknown as OrderSender;
        this.controller = new PaceController(parts, orders, this.estimator, this.headroomTracker);
    }

    /** Adds a running task that this coordinator has started. */
    startTask(jobId: string, spec: StepSpec, measurement: number): Task {
        const task = this.takeOverTask(jobId, spec, measurement);
        task.orderedAtMs = this.clock.getNow() + 1;
        task.firstSeenAtMs = task.orderedAtMs + 1;
        return task;
    }

    /** Adds a running task that an earlier coordinator has started. */
    takeOverTask(jobId: string, spec: StepSpec, measurement: number): Task {
        const job = new Job(
            jobId,
            { payload: "", steps: [spec], repeatCount: 0, firstRunMs: 0, intervalMs: 0 },
            createQueue(),
            0,
        );
        openOccurrence(job, 0);
        const [task] = [...job.listTasks()];
        task.phase = TaskPhase.Running;
        task.run = 1;
        task.workerId = "w";
        task.percent = FULL_PERCENT;
        task.measurement = measurement;
        this.worker.tasks.add(task);
        return task;
    }

    async runMeasurements(durationMs: number, gapMs: number): Promise<void> {
        for (let passedMs = 0; passedMs < durationMs; passedMs += gapMs) {
            this.controller.handleMeasurements(this.worker);
            await this.clock.runFor(gapMs);
        }
    }
}

describe("PaceController", () => {
    describe.each([[2], [60], [400]])(
        "when a serving task exceeds its latency target, with answers %d ms apart",
        gapMs => {
            async function startOverTarget() {
                const harness = new ControllerHarness();
                const servingTask = harness.startTask("server", SERVING, TARGET_MS / 5);
                harness.startTask("harmful", BEST_EFFORT, 8000);
                await harness.runMeasurements(3000, gapMs);
                expect(harness.paces).toEqual([]);
                // The target is exceeded as soon as possible after the last sample.
                const overAtMs = harness.clock.getNow();
                servingTask.measurement = TARGET_MS * 1.1;
                return { harness, servingTask, overAtMs };
            }

            it("pauses best-effort tasks after 15 % of harmMs", async () => {
                const { harness, overAtMs } = await startOverTarget();
                await harness.runMeasurements(1500, gapMs);
                const paused = harness.paces.find(({ percent }) => percent === 0);
                expect(paused?.atMs).toBeLessThanOrEqual(overAtMs + HARM_MS * 0.15 + gapMs);
            });

            it("stops tasks that can't be paused after 60 % of harmMs", async () => {
                const { harness, overAtMs } = await startOverTarget();
                harness.outcome = OrderOutcome.Unknown;
                await harness.runMeasurements(HARM_MS, gapMs);
                expect(harness.stops.length).toBe(1);
                expect(harness.stops[0].atMs).toBeGreaterThanOrEqual(overAtMs + HARM_MS * 0.6);
                expect(harness.stops[0].atMs).toBeLessThanOrEqual(overAtMs + HARM_MS * 0.6 + gapMs);
            });

            it("starts counting again once the latency was back under its target", async () => {
                const { harness, servingTask } = await startOverTarget();
                harness.outcome = OrderOutcome.Unknown;
                await harness.runMeasurements(HARM_MS * 0.5, gapMs);
                servingTask.measurement = TARGET_MS * 0.9;
                await harness.runMeasurements(gapMs, gapMs);
                servingTask.measurement = TARGET_MS * 1.1;
                await harness.runMeasurements(HARM_MS * 0.5, gapMs);
                expect(harness.stops).toEqual([]);
            });
        },
    );

    describe("when a pause is planned while another pace order is under way", () => {
        it("sends the pause as soon as the other order is answered", async () => {
            const harness = new ControllerHarness();
            const servingTask = harness.startTask("server", SERVING, TARGET_MS / 1.5);
            harness.startTask("harmful", BEST_EFFORT, 0);
            harness.answerMs = 1500;
            await harness.runMeasurements(400, 400);
            expect(harness.paces.length).toBe(1);
            expect(harness.paces[0].percent).toBeGreaterThan(0);
            servingTask.measurement = TARGET_MS * 1.1;
            await harness.runMeasurements(800, 100);
            await harness.clock.runFor(310);
            expect(harness.paces.map(({ percent }) => percent)).toEqual([harness.paces[0].percent, 0]);
        });
    });

    describe("when estimates vary while an order to increase the pace is under way", () => {
        it("plans with the ordered pace", async () => {
            const harness = new ControllerHarness();
            harness.startTask("server", SERVING, TARGET_MS / 1.5);
            const bestEffortTask = harness.startTask("best-effort", BEST_EFFORT, 0);
            // An unknown image is estimated to take a headroom of 1.15 at full speed on half of a worker.
            harness.headroomTracker.estimateHeadroom = () => 1.2;
            await harness.runMeasurements(4000, 400);
            expect(bestEffortTask.pace).toBe(0);
            harness.answerMs = 700;
            harness.headroomTracker.estimateHeadroom = () => 1.7;
            await harness.runMeasurements(400, 400);
            harness.headroomTracker.estimateHeadroom = () => 1.6;
            await harness.runMeasurements(1200, 400);
            expect(bestEffortTask.pace).toBe(40);
            expect(harness.paces.map(({ percent }) => percent)).toEqual([0, 40]);
        });
    });

    describe("when a best-effort task starts beside a serving task without spare headroom", () => {
        it("throttles the task at once, however new the last sample is", async () => {
            const harness = new ControllerHarness();
            harness.startTask("server", SERVING, TARGET_MS / 1.2);
            await harness.runMeasurements(1000, 10);
            const newTask = harness.startTask("new", BEST_EFFORT, 0);
            newTask.phase = TaskPhase.Ordered;
            await harness.runMeasurements(10, 10);
            expect(harness.paces.map(({ job }) => job)).toEqual(["new"]);
            expect(harness.worker.hasMixedTasks).toBe(true);
        });
    });

    describe("when answers arrive much faster than samples are due", () => {
        it("plans the paces only as often as samples are due", async () => {
            const harness = new ControllerHarness();
            harness.startTask("server", SERVING, TARGET_MS / 5);
            harness.startTask("best-effort", BEST_EFFORT, 8000);
            let estimates = 0;
            const estimate = harness.estimator.estimateLowestHeadroom.bind(harness.estimator);
            harness.estimator.estimateLowestHeadroom = image => {
                estimates++;
                return estimate(image);
            };
            await harness.runMeasurements(2000, 2);
            expect(estimates).toBeGreaterThanOrEqual(7);
            expect(estimates).toBeLessThanOrEqual(9);
        });
    });

    describe("when the serving tasks beside a throttled best-effort task are gone", () => {
        it("returns the task to full speed and no longer marks the worker as shared", async () => {
            const harness = new ControllerHarness();
            const servingTask = harness.startTask("server", SERVING, TARGET_MS / 1.2);
            const bestEffortTask = harness.startTask("best-effort", BEST_EFFORT, 0);
            await harness.runMeasurements(2000, 100);
            expect(bestEffortTask.pace).toBe(0);
            expect(harness.worker.hasMixedTasks).toBe(true);
            harness.worker.tasks.delete(servingTask);
            await harness.runMeasurements(2000, 100);
            expect(bestEffortTask.pace).toBe(FULL_PERCENT);
            expect(harness.worker.hasMixedTasks).toBe(false);
        });
    });

    describe("when an earlier coordinator has throttled a best-effort task", () => {
        it("sends the task's pace again, once", async () => {
            const harness = new ControllerHarness();
            harness.startTask("server", SERVING, TARGET_MS / 5);
            harness.takeOverTask("halted", BEST_EFFORT, 0);
            harness.takeOverTask("working", BEST_EFFORT, 8000);
            harness.startTask("own", BEST_EFFORT, 0);
            await harness.runMeasurements(2000, 100);
            expect(harness.paces.map(({ job, percent }) => [job, percent])).toEqual([["halted", FULL_PERCENT]]);
        });
    });
});
