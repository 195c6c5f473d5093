import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import type { QueueConfig } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { TakeoverBed } from "./testing/takeoverBed.js";

const SEEDS = Array.from({ length: 48 }, (_unused, index) => 20261204 + index);
const VMS = ["a", "b", "c", "d"];
const WORKERS = 5;
const ROUNDS = 3;
/** The store is away for longer than it takes until work is started unrecorded. */
const LEAST_AWAY_MS = 4500;
const MORE_AWAY_MS = 4000;
/** Longer than every lease and every wait of a takeover. */
const CALM_MS = 45_000;
/** A worker's entry that vanished while the store was away is back by then. */
const ENTRY_RETURN_MS = 2000;
/** Runs that fail are started again, unrecorded too. */
const FAILED_SHARE = 0.25;
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

/** Outages of the store in which work is started unrecorded, each with a series of takeovers around its end. */
class OutageCourse {
    readonly bed: TakeoverBed;
    private jobs = 0;

    constructor(private readonly random: () => number) {
        this.bed = new TakeoverBed(random, () => {
            const duration = 300 + random() * 3700;
            return random() < FAILED_SHARE ? -duration : duration;
        });
    }

    async run(): Promise<void> {
        const { bed } = this;
        VMS.forEach(vm => bed.startVm(vm));
        for (let index = 0; index < WORKERS; index++) {
            bed.addWorker(`w${index}`);
        }
        await bed.clock.runFor(3000);
        for (let round = 0; round < ROUNDS; round++) {
            await this.runOutage();
        }
        await bed.clock.runFor(CALM_MS);
    }

    private async runOutage(): Promise<void> {
        const { bed, random } = this;
        const { clock, store } = bed;
        this.submitJobs(2);
        await clock.runFor(300 + random() * 1500);
        this.submitJobs(2);
        await clock.runFor(random() * 300);
        bed.lost.lateMs = random() < 0.5 ? 500 + random() * 6000 : 0;
        bed.lost.share = random() < 0.5 ? 0.4 : 0;
        await clock.runFor(random() * 800);
        store.faults.isDown = true;
        const vanished = [...bed.fleet.workers.keys()].filter(() => random() < 0.3);
        const awayMs = LEAST_AWAY_MS + random() * MORE_AWAY_MS;
        await clock.runFor(awayMs - 1000);
        if (random() < 0.3) {
            this.stopCoordinator();
        }
        await clock.runFor(1000);
        store.faults.isDown = false;
        vanished.forEach(id => {
            bed.removeWorker(id);
            const backMs = (random() < 0.5 ? random() : 1 - random() / 10) * (ENTRY_RETURN_MS - 50);
            clock.schedule(backMs, () => bed.listWorker(id));
        });
        for (let takeover = 0; takeover < 3; takeover++) {
            await clock.runFor(random() * (random() < 0.5 ? 400 : 2500));
            this.injectCut();
            this.stopCoordinator();
        }
        bed.lost.share = 0;
        await clock.runFor(2000 + random() * 8000);
    }

    /** Jobs of two steps: the second comes up while nothing can be recorded. */
    private submitJobs(count: number): void {
        const width = () => 1 + Math.floor(this.random() * 6);
        for (let index = 0; index < count; index++) {
            const steps = [0, 1, 2].map(step =>
                createStep({ taskCount: width(), dependsOn: step === 0 ? [] : [step - 1] })
            );
            this.bed.submit(`job${this.jobs++}`, {
                payload: "",
                steps,
                repeatCount: 0,
                firstRunMs: 0,
                intervalMs: 0,
            }, queue);
        }
    }

    private stopCoordinator(): void {
        const { bed, random } = this;
        const vm = bed.coordinator;
        if (vm !== undefined && bed.vms.length > 1) {
            bed.stopVm(vm);
            bed.clock.schedule(500 + random() * 2500, () => bed.startVm(vm));
        }
    }

    private injectCut(): void {
        const { bed, random } = this;
        const workers = [...bed.fleet.workers.values()];
        const worker = workers[Math.floor(random() * workers.length)];
        worker.isCut = true;
        bed.clock.schedule(500 + random() * 5000, () => worker.isCut = false);
    }
}

describe("Takeovers in a row around an outage of the store", () => {
    let random: () => number;

    beforeEach(() => {
        jest.spyOn(Math, "random").mockImplementation(() => random());
    });

    afterEach(() => {
        jest.restoreAllMocks();
    });

    describe.each(SEEDS)("with seed %d", seed => {
        it("run nothing twice that was started unrecorded, and end all jobs", async () => {
            random = createRandom(seed);
            const course = new OutageCourse(random);
            await course.run();
            const { bed } = course;
            expect(bed.witness.faults).toEqual([]);
            const tasks = [...bed.specs.values()].flatMap(spec => spec.steps.map(step => step.taskCount));
            expect(bed.witness.done.size).toBe(tasks.reduce((sum, count) => sum + count, 0));
        });
    });
});
