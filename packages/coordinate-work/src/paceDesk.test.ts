import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import { OrderOutcome } from "@sardinestage/describe-ports";
import type { StepSpec, TaskRef, WorkerEntry } from "@sardinestage/describe-work";
import { createStep, VirtualClock } from "@sardinestage/emulate-platform";
import { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { Task } from "@sardinestage/track-jobs";
import { Job, openOccurrence, TaskPhase } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "./coordinatorParts.js";
import type { OrderDesk } from "./orderDesk.js";
import { PaceDesk } from "./paceDesk.js";
import { ServingBook } from "./servingBook.js";
import { createQueue } from "./testing/createQueue.js";
import { TrackedWorker } from "./trackedWorker.js";

const HARM_MS = 4500;
const TARGET_MS = 100;
const FULL_PERCENT = 100;
const FILLING = createStep({ image: "filling", cpuMillis: 8000, fillsLeftover: true });
const SERVING = createStep({ image: "serving", tailTargetMs: TARGET_MS, longRunning: true });

interface SentPace {
    readonly atMs: number;
    readonly job: string;
    readonly percent: number;
}

/** A pace desk with one worker, whose answers come when the test says so. */
class DeskBed {
    readonly clock = new VirtualClock();
    readonly paces: SentPace[] = [];
    readonly stops: { readonly atMs: number; readonly task: Task }[] = [];
    readonly link = new TrackedWorker({ id: "w", capacity: { cpuMillis: 16_000 } } as unknown as WorkerEntry, 0);
    readonly estimator = new HeadroomEstimator();
    readonly serving = new ServingBook(this.estimator);
    private readonly desk: PaceDesk;
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
        } as unknown as OrderDesk;
        this.desk = new PaceDesk(parts, orders, this.estimator, this.serving);
    }

    /** Has a run at work that this coordinator has ordered. */
    startTask(jobId: string, spec: StepSpec, figure: number): Task {
        const task = this.acceptTask(jobId, spec, figure);
        task.orderedAtMs = this.clock.getNow() + 1;
        task.seenAtMs = task.orderedAtMs + 1;
        return task;
    }

    /** Has a run at work that an earlier coordinator has ordered. */
    acceptTask(jobId: string, spec: StepSpec, figure: number): Task {
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
        task.figure = figure;
        this.link.tasks.add(task);
        return task;
    }

    async runAnswers(durationMs: number, gapMs: number): Promise<void> {
        for (let passedMs = 0; passedMs < durationMs; passedMs += gapMs) {
            this.desk.handleFigures(this.link);
            await this.clock.runFor(gapMs);
        }
    }
}

describe("PaceDesk", () => {
    describe.each([[2], [60], [400]])("when a serving task comes over its target, with answers %d ms apart", gapMs => {
        async function runIntoHarm() {
            const bed = new DeskBed();
            const server = bed.startTask("server", SERVING, TARGET_MS / 5);
            bed.startTask("harmful", FILLING, 8000);
            await bed.runAnswers(3000, gapMs);
            expect(bed.paces).toEqual([]);
            // The pause since the last figures that were new is as short as it gets.
            const overAtMs = bed.clock.getNow();
            server.figure = TARGET_MS * 1.1;
            return { bed, server, overAtMs };
        }

        it("halts what fills after 15 % of the bound on harm", async () => {
            const { bed, overAtMs } = await runIntoHarm();
            await bed.runAnswers(1500, gapMs);
            const halted = bed.paces.find(({ percent }) => percent === 0);
            expect(halted?.atMs).toBeLessThanOrEqual(overAtMs + HARM_MS * 0.15 + gapMs);
        });

        it("stops after 60 % of it what goes on working, long before harm counts", async () => {
            const { bed, overAtMs } = await runIntoHarm();
            bed.outcome = OrderOutcome.Unknown;
            await bed.runAnswers(HARM_MS, gapMs);
            expect(bed.stops.length).toBe(1);
            expect(bed.stops[0].atMs).toBeGreaterThanOrEqual(overAtMs + HARM_MS * 0.6);
            expect(bed.stops[0].atMs).toBeLessThanOrEqual(overAtMs + HARM_MS * 0.6 + gapMs);
        });

        it("counts from anew when it was back under its target in between", async () => {
            const { bed, server } = await runIntoHarm();
            bed.outcome = OrderOutcome.Unknown;
            await bed.runAnswers(HARM_MS * 0.5, gapMs);
            server.figure = TARGET_MS * 0.9;
            await bed.runAnswers(gapMs, gapMs);
            server.figure = TARGET_MS * 1.1;
            await bed.runAnswers(HARM_MS * 0.5, gapMs);
            expect(bed.stops).toEqual([]);
        });
    });

    describe("when a halt is decided while another order is under way", () => {
        it("sends the halt as soon as that is answered", async () => {
            const bed = new DeskBed();
            const server = bed.startTask("server", SERVING, TARGET_MS / 1.5);
            bed.startTask("harmful", FILLING, 0);
            bed.answerMs = 1500;
            await bed.runAnswers(400, 400);
            expect(bed.paces.length).toBe(1);
            expect(bed.paces[0].percent).toBeGreaterThan(0);
            server.figure = TARGET_MS * 1.1;
            await bed.runAnswers(800, 100);
            await bed.clock.runFor(310);
            expect(bed.paces.map(({ percent }) => percent)).toEqual([bed.paces[0].percent, 0]);
        });
    });

    describe("when figures wobble while an order to work faster is under way", () => {
        it("takes the new pace for the present one", async () => {
            const bed = new DeskBed();
            bed.startTask("server", SERVING, TARGET_MS / 1.5);
            const filler = bed.startTask("filler", FILLING, 0);
            // An image of which nothing is known takes 1.15 of headroom at full speed on half of a worker.
            bed.serving.estimateHeadroom = () => 1.2;
            await bed.runAnswers(4000, 400);
            expect(filler.pace).toBe(0);
            bed.answerMs = 700;
            bed.serving.estimateHeadroom = () => 1.7;
            await bed.runAnswers(400, 400);
            bed.serving.estimateHeadroom = () => 1.6;
            await bed.runAnswers(1200, 400);
            expect(filler.pace).toBe(40);
            expect(bed.paces.map(({ percent }) => percent)).toEqual([0, 40]);
        });
    });

    describe("when a filling task has just begun beside a serving one that has nothing left", () => {
        it("slows it at once, however new the last figures were", async () => {
            const bed = new DeskBed();
            bed.startTask("server", SERVING, TARGET_MS / 1.2);
            await bed.runAnswers(1000, 10);
            const begun = bed.startTask("begun", FILLING, 0);
            begun.phase = TaskPhase.Ordered;
            await bed.runAnswers(10, 10);
            expect(bed.paces.map(({ job }) => job)).toEqual(["begun"]);
            expect(bed.link.hasMixedTasks).toBe(true);
        });
    });

    describe("when answers come much closer together than figures say anything new", () => {
        it("judges the worker only as often as they do", async () => {
            const bed = new DeskBed();
            bed.startTask("server", SERVING, TARGET_MS / 5);
            bed.startTask("filler", FILLING, 8000);
            let judged = 0;
            const estimate = bed.estimator.estimateLowest.bind(bed.estimator);
            bed.estimator.estimateLowest = image => {
                judged++;
                return estimate(image);
            };
            await bed.runAnswers(2000, 2);
            expect(judged).toBeGreaterThanOrEqual(7);
            expect(judged).toBeLessThanOrEqual(9);
        });
    });

    describe("when the serving tasks beside a slowed filling task have left", () => {
        it("lets it work at full speed again, and looks at the worker less often", async () => {
            const bed = new DeskBed();
            const server = bed.startTask("server", SERVING, TARGET_MS / 1.2);
            const filler = bed.startTask("filler", FILLING, 0);
            await bed.runAnswers(2000, 100);
            expect(filler.pace).toBe(0);
            expect(bed.link.hasMixedTasks).toBe(true);
            bed.link.tasks.delete(server);
            await bed.runAnswers(2000, 100);
            expect(filler.pace).toBe(FULL_PERCENT);
            expect(bed.link.hasMixedTasks).toBe(false);
        });
    });

    describe("when an earlier coordinator has slowed a filling task", () => {
        it("tells it its pace anew, once", async () => {
            const bed = new DeskBed();
            bed.startTask("server", SERVING, TARGET_MS / 5);
            bed.acceptTask("halted", FILLING, 0);
            bed.acceptTask("working", FILLING, 8000);
            bed.startTask("own", FILLING, 0);
            await bed.runAnswers(2000, 100);
            expect(bed.paces.map(({ job, percent }) => [job, percent])).toEqual([["halted", FULL_PERCENT]]);
        });
    });
});
