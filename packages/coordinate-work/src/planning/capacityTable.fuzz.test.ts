import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import type { WorkerCapacity } from "@sardinestage/plan-starts";
import { allocateCapacity } from "@sardinestage/plan-starts";
import type { Task } from "@sardinestage/track-jobs";
import { Job, openOccurrence } from "@sardinestage/track-jobs";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createQueue } from "../testing/createQueue.js";
import { createTrackedWorker } from "../testing/createTrackedWorker.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import { buildWorkerCapacities } from "./buildWorkerCapacities.js";
import { CapacityTable } from "./capacityTable.js";

const SEEDS = Array.from({ length: 8 }, (_unused, index) => 20261204 + index);
const EVENTS = 1000;
const WORKERS = 6;
const CAPACITY = { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 1 };
/** A cached headroom may be this old, in milliseconds. */
const MAX_AGE_MS = 200;

function createTasks(): Task[] {
    const steps = [
        createStep({ taskCount: 10 }),
        createStep({ taskCount: 10, isBestEffort: true }),
        createStep({ taskCount: 10, longRunning: true, tailLatencyTargetMs: 1000 }),
    ];
    const job = new Job("job", { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 }, createQueue(), 0);
    openOccurrence(job, 0);
    return [...job.listTasks()];
}

/** Formats capacities as text without the steps of tasks, which refer to their whole jobs. */
function describeCapacities(capacities: readonly WorkerCapacity[]): string {
    return JSON.stringify(capacities.map(capacity => ({
        ...capacity,
        servingTasks: capacity.servingTasks.map(({ step, headroom }) => ({ step: step.number, headroom })),
    })));
}

describe("CapacityTable", () => {
    describe.each(SEEDS)("in a random sequence of events with seed %d", seed => {
        it("lists the same capacities as building all of them again", () => {
            const generator = xoroshiro128plus(seed);
            const pick = (limit: number) => (generator.next() >>> 0) % limit;
            const workers = Array.from(
                { length: WORKERS },
                (_unused, index) => createTrackedWorker(`w${index}`, CAPACITY),
            );
            const startsLeft = new Map(workers.map(worker => [worker, 1000]));
            const tasks = createTasks();
            const table = new CapacityTable();
            let nowMs = 0;
            for (let event = 0; event < EVENTS; event++) {
                const worker = workers[pick(WORKERS)];
                const task = tasks[pick(tasks.length)];
                const choice = pick(8);
                if (choice <= 2) {
                    worker.tasks.add(task);
                }
                else if (choice <= 4) {
                    worker.tasks.delete(task);
                }
                else if (choice === 5) {
                    const memoryMb = 32_000 + pick(32_000);
                    worker.entry = { ...worker.entry, capacity: { ...worker.entry.capacity, memoryMb } };
                }
                else if (choice === 6) {
                    startsLeft.set(worker, pick(3));
                }
                else {
                    nowMs += pick(50);
                }
                const getStartsLeft = (each: TrackedWorker) => startsLeft.get(each) ?? 0;
                const capacities = table.updateCapacities(workers, nowMs, getStartsLeft, () => 2);
                expect(describeCapacities(capacities)).toBe(
                    describeCapacities(buildWorkerCapacities(workers, getStartsLeft, () => 2)),
                );
                // A round takes from the capacities, and the tasks that it starts are added to the workers.
                const started = capacities.filter(() => pick(20) === 0);
                for (const capacity of started) {
                    allocateCapacity(capacity, task.step, 2);
                    workers.find(each => each.entry.id === capacity.workerId)?.tasks.add(task);
                }
            }
        });
    });

    describe("when only the headroom of a serving task has changed", () => {
        it("lists the new headroom once the cached one is too old", () => {
            const worker = createTrackedWorker("w", CAPACITY);
            createTasks().slice(-1).forEach(task => worker.tasks.add(task));
            const table = new CapacityTable();
            const readHeadroom = (nowMs: number, headroom: number) =>
                table.updateCapacities([worker], nowMs, () => 1, () => headroom)[0].servingTasks[0].headroom;
            expect(readHeadroom(0, 2)).toBe(2);
            expect(readHeadroom(MAX_AGE_MS, 3)).toBe(2);
            expect(readHeadroom(MAX_AGE_MS + 1, 3)).toBe(3);
        });
    });
});
