import { describe, expect, it, jest } from "@jest/globals";
import { Topic } from "@sardinestage/describe-ports";
import type { JobSpec } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { Learned } from "./learned.js";
import { CoordinatorBed } from "./testing/coordinatorBed.js";
import { createQueue } from "./testing/createQueue.js";

const ALWAYS = () => 0.5;

function createSpec(steps = [createStep()]): JobSpec {
    return { payload: "payload", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

async function createBed(workers: number, durationMs: number): Promise<CoordinatorBed> {
    const bed = new CoordinatorBed(ALWAYS, () => durationMs);
    const adding = Array.from({ length: workers }, (_unused, index) => bed.addWorker(`w${index}`));
    await bed.clock.runFor(20);
    await Promise.all(adding);
    return bed;
}

describe("Coordinator", () => {
    describe("when it takes over a large fleet", () => {
        it("spreads the first lease renewals over time, so that they don't delay later renewals", async () => {
            const bed = await createBed(100, 500);
            const holding = jest.spyOn(bed.fleet, "hold");
            bed.startTerm(false);
            await bed.clock.runFor(1);
            let before = 0;
            let most = 0;
            for (let step = 0; step < 200; step++) {
                await bed.clock.runFor(1);
                const first = new Set(holding.mock.calls.map(([worker]) => worker.id)).size;
                most = Math.max(most, first - before);
                before = first;
            }
            expect(before).toBe(100);
            expect(most).toBeLessThanOrEqual(20);
        });
    });

    describe("when it takes over with more waiting work than it can order at once", () => {
        it("lets no lease expire because start orders delay its renewal", async () => {
            const bed = await createBed(200, 60_000);
            bed.startTerm(false);
            void bed.submit("lasting", createSpec([createStep({ taskCount: 400, longRunning: true })]), createQueue());
            await bed.clock.runFor(3000);
            expect(bed.witness.countAtWork()).toBe(400);
            bed.coordinator?.close();
            const waiting = createStep({ taskCount: 40, cpuMillis: 400 });
            for (let job = 0; job < 40; job++) {
                void bed.submit(`waiting${job}`, createSpec([waiting]), createQueue());
            }
            await bed.clock.runFor(2000);
            bed.callMs = 2;
            bed.startTerm(false);
            await bed.clock.runFor(6000);
            expect(bed.events.filter(event => event.includes("Lapsed"))).toEqual([]);
            expect(bed.witness.countAtWork()).toBeGreaterThan(400);
        });
    });

    describe("when it takes over while the store is slow", () => {
        it("gives a slow store enough time to answer its first append", async () => {
            const bed = await createBed(2, 500);
            bed.store.faults.answerMs = 200;
            bed.startTerm(false);
            await bed.clock.runFor(1500);
            expect(bed.coordinator?.isReady).toBe(true);
            expect(bed.terms).toBe(1);
        });
    });

    describe("when nothing is wrong", () => {
        it("runs the steps of a job in order and completes it", async () => {
            const bed = await createBed(2, 500);
            bed.startTerm(false);
            const steps = [createStep({ taskCount: 3 }), createStep({ taskCount: 2, dependsOn: [0] })];
            void bed.submit("job", createSpec(steps), createQueue());
            await bed.clock.runFor(1800);
            expect(bed.witness.faults).toEqual([]);
            expect(bed.witness.done.size).toBe(5);
            expect(await bed.coordinator?.getState("job")).toBe(JobState.Completed);
        });

        it("starts the next step within 60 ms of the end of the one before", async () => {
            const bed = await createBed(1, 500);
            bed.startTerm(false);
            await bed.clock.runFor(500);
            const steps = [createStep(), createStep({ dependsOn: [0] })];
            void bed.submit("job", createSpec(steps), createQueue());
            await bed.clock.runFor(1160);
            expect(bed.witness.done.size).toBe(2);
        });

        it("fails a job once one of its tasks has failed as often as its queue allows", async () => {
            const bed = new CoordinatorBed(ALWAYS, () => -200);
            void bed.addWorker("w");
            await bed.clock.runFor(20);
            bed.startTerm(false);
            void bed.submit("job", createSpec(), createQueue({ maxAttempts: 2 }));
            await bed.clock.runFor(5000);
            expect(await bed.coordinator?.getState("job")).toBe(JobState.Failed);
        });

        it("stops the runs of a cancelled job", async () => {
            const bed = await createBed(1, 60_000);
            bed.startTerm(false);
            void bed.submit("job", createSpec([createStep({ taskCount: 4 })]), createQueue());
            await bed.clock.runFor(1000);
            expect(bed.witness.countAtWork()).toBe(4);
            void bed.cancel("job");
            await bed.clock.runFor(1000);
            expect(bed.witness.countAtWork()).toBe(0);
        });
    });

    describe("when the coordinator is killed", () => {
        it("the next one keeps the active runs and starts no task twice", async () => {
            const bed = await createBed(2, 2000);
            bed.startTerm(false);
            void bed.submit("job", createSpec([createStep({ taskCount: 6 })]), createQueue());
            await bed.clock.runFor(700);
            bed.coordinator?.close();
            await bed.clock.runFor(1500);
            bed.startTerm(false);
            await bed.clock.runFor(1500);
            expect(bed.witness.faults).toEqual([]);
            expect(bed.witness.done.size).toBe(6);
            expect(await bed.coordinator?.getState("job")).toBe(JobState.Completed);
        });

        it("fences off the old one once the new one has begun", async () => {
            const bed = await createBed(2, 500);
            bed.startTerm(false);
            await bed.clock.runFor(500);
            bed.startTerm(false);
            await bed.clock.runFor(2500);
            expect(bed.deposed.length).toBeGreaterThan(0);
        });
    });

    describe("when an earlier coordinator has learned estimates", () => {
        it("finds the estimates in the store", async () => {
            const bed = new CoordinatorBed(ALWAYS, task => 300 * (task.index + 1));
            void bed.addWorker("w");
            await bed.clock.runFor(20);
            bed.startTerm(false);
            void bed.submit("job", createSpec([createStep({ taskCount: 2 })]), createQueue());
            await bed.clock.runFor(7000);
            const page = await bed.readNewest(Topic.Progress);
            const record = page.find(({ key }) => key === Learned.KEY);
            const next = new Learned();
            next.restoreState(record?.value ?? new Uint8Array());
            const spec = createStep();
            expect(next.durations.estimateDuration("queue", spec)).toBeLessThan(spec.estimateMs);
        });

        it("takes over even if the record of the estimates can't be read", async () => {
            const bed = await createBed(1, 300);
            void bed.appendSurely(Topic.Progress, { key: Learned.KEY, value: Buffer.from([0xff, 0x00]) });
            await bed.clock.runFor(20);
            bed.startTerm(false);
            void bed.submit("job", createSpec(), createQueue());
            await bed.clock.runFor(2000);
            expect(bed.events.filter(event => event.includes("learned-unreadable")).length).toBe(1);
            expect(await bed.coordinator?.getState("job")).toBe(JobState.Completed);
        });
    });

    describe("when the coordinator is killed between a recorded end and its acknowledgement", () => {
        it("counts the failed run once", async () => {
            const bed = new CoordinatorBed(ALWAYS, (_task, run) => run === 1 ? -300 : 60_000);
            void bed.addWorker("w");
            await bed.clock.runFor(20);
            bed.startTerm(false);
            await bed.clock.runFor(500);
            void bed.submit("job", createSpec(), createQueue({ maxAttempts: 2 }));
            const isRecorded = () => bed.events.some(event => event.includes("run-end"));
            while (!isRecorded()) {
                await bed.clock.runFor(1);
            }
            const worker = bed.fleet.workers.get("w");
            if (worker !== undefined) {
                worker.isCut = true;
                await bed.clock.runFor(20);
                worker.isCut = false;
            }
            bed.coordinator?.close();
            bed.startTerm(false);
            await bed.clock.runFor(3000);
            expect(bed.events.filter(event => event.includes("run-end")).length).toBe(2);
            expect(await bed.coordinator?.getState("job")).toBe(JobState.Running);
        });
    });

    describe("when the store was unavailable for so long that work continued unrecorded", () => {
        it("waits for workers missing from the list before it starts anything", async () => {
            const bed = new CoordinatorBed(ALWAYS, task => task.step === 0 ? 500 : 1500);
            void bed.addWorker("w0");
            void bed.addWorker("w1");
            await bed.clock.runFor(20);
            bed.startTerm(false);
            await bed.clock.runFor(500);
            const steps = [createStep(), createStep({ taskCount: 8, dependsOn: [0] })];
            void bed.submit("job", createSpec(steps), createQueue());
            await bed.clock.runFor(300);
            bed.store.faults.isDown = true;
            await bed.clock.runFor(5800);
            expect(bed.witness.countAtWork()).toBe(8);
            bed.coordinator?.close();
            bed.store.faults.isDown = false;
            void bed.removeWorker("w1");
            bed.clock.schedule(1800, () => void bed.listWorker("w1"));
            await bed.clock.runFor(100);
            bed.startTerm(true);
            await bed.clock.runFor(8000);
            expect(bed.witness.faults).toEqual([]);
            expect(await bed.coordinator?.getState("job")).toBe(JobState.Completed);
        });
    });

    describe("when an unrecorded run has ended before a takeover", () => {
        it("applies the end and doesn't start the task again", async () => {
            const bed = new CoordinatorBed(ALWAYS, task => task.jobId === "first" ? 1000 : 600);
            void bed.addWorker("w0");
            await bed.clock.runFor(20);
            bed.startTerm(false);
            await bed.clock.runFor(500);
            const wide = createStep({ taskCount: 16 });
            void bed.submit("first", createSpec([wide]), createQueue());
            void bed.submit("second", createSpec(), createQueue({ priority: 1 }));
            await bed.clock.runFor(300);
            bed.store.faults.isDown = true;
            const isStarted = () => bed.witness.countAtWork() === 1;
            while (!isStarted()) {
                await bed.clock.runFor(10);
            }
            await bed.clock.runFor(800);
            expect(bed.witness.done.size).toBe(17);
            bed.coordinator?.close();
            bed.store.faults.isDown = false;
            bed.startTerm(true);
            await bed.clock.runFor(8000);
            expect(bed.witness.faults).toEqual([]);
            expect(await bed.coordinator?.getState("second")).toBe(JobState.Completed);
        });
    });

    describe("when a worker is lost while best-effort tasks occupy the memory of the others", () => {
        it("runs all its long-running tasks again within 3 s of the expiry of its lease", async () => {
            const bed = await createBed(1, 120_000);
            bed.startTerm(false);
            const filling = createStep({ taskCount: 64, fillsLeftover: true, savesProgress: true });
            void bed.submit("filling", createSpec([filling]), createQueue({ priority: 2 }));
            await bed.clock.runFor(2000);
            expect(bed.witness.countAtWork()).toBe(64);
            void bed.addWorker("lost");
            await bed.clock.runFor(1000);
            const lasting = createStep({ taskCount: 8, longRunning: true, memoryMb: 8000 });
            void bed.submit("lasting", createSpec([lasting]), createQueue());
            await bed.clock.runFor(4000);
            expect(bed.witness.countAtWork()).toBe(72);
            bed.stopWorker("lost");
            // The length of the lease on a clock that may be slow, and the time that its last renewal was under way.
            await bed.clock.runFor(4700);
            await bed.clock.runFor(3000);
            expect(bed.witness.faults).toEqual([]);
            expect(bed.witness.countAtWork()).toBe(8);
        });
    });

    describe("when a worker is cut off", () => {
        it("starts its tasks elsewhere only after its lease has expired", async () => {
            const bed = await createBed(1, 20_000);
            bed.startTerm(false);
            void bed.submit("job", createSpec(), createQueue());
            await bed.clock.runFor(500);
            const cut = bed.fleet.workers.get("w0");
            if (cut !== undefined) {
                cut.isCut = true;
            }
            void bed.addWorker("w1");
            await bed.clock.runFor(12_000);
            expect(bed.witness.faults).toEqual([]);
            expect(bed.witness.countAtWork()).toBe(1);
        });
    });

    describe("when start orders get no answer and are executed late", () => {
        it("stops these runs before it starts their tasks again", async () => {
            const bed = await createBed(3, 400);
            bed.startTerm(false);
            await bed.clock.runFor(500);
            bed.fleet.faults.lateShare = 0.6;
            bed.fleet.faults.lateMs = 3000;
            void bed.submit("job", createSpec([createStep({ taskCount: 10 })]), createQueue());
            await bed.clock.runFor(3000);
            bed.fleet.faults.lateShare = 0;
            await bed.clock.runFor(12_000);
            expect(bed.witness.faults).toEqual([]);
            expect(await bed.coordinator?.getState("job")).toBe(JobState.Completed);
        });
    });
});
