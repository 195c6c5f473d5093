import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { CoordinatorBed } from "./testing/coordinatorBed.js";
import { createQueue } from "./testing/createQueue.js";

const SEEDS = Array.from({ length: 32 }, (_unused, index) => 20261204 + index);
const WORKERS = 4;
const STEP_MS = 400;
const STEPS = 45;
/** Time without faults at the end: longer than every lease, every probation and the return of an entry to the list. */
const CALM_MS = 45_000;
const RECORDED_WITHIN_MS = 4500;

function createSpec(random: () => number): JobSpec {
    const width = () => 1 + Math.floor(random() * 4);
    const steps = [createStep({ taskCount: width() }), createStep({ taskCount: width(), dependsOn: [0] })];
    return { payload: "payload", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

/** Submits jobs to real coordinators while random faults happen; the witness detects forbidden runs. */
class FaultCourse {
    private readonly random: () => number;
    readonly bed: CoordinatorBed;
    private jobs = 0;
    private workers = 0;
    private storeBackAtMs = 0;
    private storeLeftAtMs = -Infinity;

    constructor(seed: number) {
        this.random = createRandom(seed);
        this.bed = new CoordinatorBed(this.random, () => {
            const duration = 200 + this.random() * 2500;
            return this.random() < 0.08 ? -duration : duration;
        });
    }

    async run(): Promise<void> {
        for (let index = 0; index < WORKERS; index++) {
            void this.bed.addWorker(`w${this.workers++}`);
        }
        await this.bed.clock.runFor(50);
        this.bed.startTerm(false);
        for (let step = 0; step < STEPS; step++) {
            this.takeStep();
            await this.bed.clock.runFor(STEP_MS);
        }
        this.restoreAll();
        await this.bed.clock.runFor(CALM_MS);
    }

    private takeStep(): void {
        const { bed, random } = this;
        const nowMs = bed.clock.getNow();
        if (bed.store.faults.isDown && nowMs >= this.storeBackAtMs) {
            bed.store.faults.isDown = false;
        }
        const choice = Math.floor(random() * 12);
        if (choice <= 4) {
            const id = `job${this.jobs++}`;
            void bed.submit(id, createSpec(random), createQueue({ maxAttempts: 50 }));
        }
        else if (choice === 5) {
            this.startSuccessor();
        }
        else if (choice === 6) {
            const ids = [...bed.fleet.workers.keys()];
            bed.stopWorker(ids[Math.floor(random() * ids.length)]);
            void bed.addWorker(`w${this.workers++}`);
        }
        else if (choice === 7) {
            this.injectCut();
        }
        else if (choice === 8 && !bed.store.faults.isDown) {
            bed.store.faults.isDown = true;
            this.storeLeftAtMs = nowMs;
            this.storeBackAtMs = nowMs + 500 + random() * 8000;
        }
        else if (choice === 9) {
            bed.store.faults.lostShare = random() < 0.5 ? 0.3 : 0;
        }
        else if (choice === 10) {
            bed.fleet.faults.lateShare = random() < 0.5 ? 0.3 : 0;
            bed.fleet.faults.lateMs = 6000;
        }
        else if (this.jobs > 0) {
            void bed.cancel(`job${Math.floor(random() * this.jobs)}`);
        }
    }

    /** Starts the next term, after the old coordinator was killed or while it still runs without knowing. */
    private startSuccessor(): void {
        const { bed, random } = this;
        if (random() < 0.6) {
            bed.coordinator?.close();
        }
        bed.clock.schedule(random() * 1500, () => {
            const awayMs = bed.store.faults.isDown ? bed.clock.getNow() - this.storeLeftAtMs : 0;
            const wasAwayLately = this.storeBackAtMs - this.storeLeftAtMs >= RECORDED_WITHIN_MS;
            bed.startTerm(awayMs >= RECORDED_WITHIN_MS || wasAwayLately);
        });
    }

    private injectCut(): void {
        const { bed, random } = this;
        const workers = [...bed.fleet.workers.values()];
        const worker = workers[Math.floor(random() * workers.length)];
        worker.isCut = true;
        bed.clock.schedule(random() * 9000, () => worker.isCut = false);
    }

    private restoreAll(): void {
        const { bed } = this;
        bed.store.faults.isDown = false;
        bed.store.faults.lostShare = 0;
        bed.fleet.faults.lateShare = 0;
        bed.fleet.workers.forEach(worker => worker.isCut = false);
    }
}

describe("Coordinators under random faults", () => {
    describe.each(SEEDS)("with seed %d", seed => {
        it("run no task twice, run steps in order and lose no job", async () => {
            const course = new FaultCourse(seed);
            await course.run();
            const { bed } = course;
            expect(bed.witness.faults).toEqual([]);
            for (const id of bed.specs.keys()) {
                const state = await Promise.race([
                    bed.coordinator?.getState(id),
                    bed.clock.runFor(100).then(() => "unanswered"),
                ]);
                expect({ id, state }).toEqual({
                    id,
                    state: bed.cancelled.has(id) ? expect.anything() : JobState.Completed,
                });
            }
        });
    });
});
