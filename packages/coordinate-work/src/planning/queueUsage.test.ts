import { describe, expect, it } from "@jest/globals";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import type { Task } from "@sardinestage/track-jobs";
import { Job, openDueOccurrences, TaskPhase } from "@sardinestage/track-jobs";
import { createQueue } from "../testing/createQueue.js";
import { createTrackedWorker } from "../testing/createTrackedWorker.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import { QueueUsage } from "./queueUsage.js";

const QUEUES = ["north", "south"];
const ROUNDS = 300;
const SEED = 5;
/** Longer than the counts of a worker are kept, in milliseconds. */
const SETTLED_MS = 500;

function createTask(queue: string, longRunning: boolean, cpuMillis: number): Task {
    const steps = [createStep({ longRunning, cpuMillis })];
    const spec = { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
    const job = new Job("job", spec, createQueue({ name: queue }), 1);
    openDueOccurrences(job, 1);
    const task = [...job.openOccurrences.values()][0].steps[0].getTask(0);
    task.phase = TaskPhase.Ordered;
    return task;
}

function listUsage(usage: QueueUsage): Record<string, readonly number[]> {
    const queues = [...usage.listGroups()].flatMap(([, group]) => [...group.queues]);
    const rows = queues.map(([name, { usedCpuMillis, heldCpuMillis }]) => [name, [usedCpuMillis, heldCpuMillis]]);
    return Object.fromEntries(rows) as Record<string, readonly number[]>;
}

describe("The capacity that queues use", () => {
    // Guards against counts that drift from the tasks, as they are only updated where workers have changed.
    it("is that of the tasks on the workers while tasks start and end and workers come and go", () => {
        const random = createRandom(SEED);
        const usage = new QueueUsage();
        let workers: TrackedWorker[] = [];
        for (let round = 0; round < ROUNDS; round++) {
            workers = workers.filter(() => random() > 0.05);
            workers.push(createTrackedWorker(`w${round}`));
            for (const { tasks } of workers) {
                tasks.add(createTask(QUEUES[Number(random() < 0.5)], random() < 0.3, Math.ceil(random() * 5000)));
                [...tasks].filter(() => random() < 0.2).forEach(task => tasks.delete(task));
                [...tasks].filter(() => random() < 0.1).forEach(task => task.phase = TaskPhase.Stopping);
            }
            usage.refresh(workers, round * SETTLED_MS);
            const active = workers.flatMap(({ tasks }) => [...tasks]).filter(task => task.phase === TaskPhase.Ordered);
            const expected = QUEUES.map(name => {
                const ofQueue = active.filter(({ step }) => step.occurrence.job.queue.name === name).map(({ step }) =>
                    step.spec
                );
                const used = ofQueue.reduce((sum, spec) => sum + spec.cpuMillis, 0);
                const held = ofQueue.reduce((sum, spec) => sum + (spec.longRunning ? spec.cpuMillis : 0), 0);
                return [name, [used, held]];
            });
            expect({ north: [0, 0], south: [0, 0], ...listUsage(usage) }).toEqual(Object.fromEntries(expected));
        }
    });

    it("contains a start at once", () => {
        const usage = new QueueUsage();
        const worker = createTrackedWorker("w0");
        usage.refresh([worker], 0);
        worker.tasks.add(createTask("north", true, 100));
        usage.refresh([worker], 1);
        expect(listUsage(usage)).toEqual({ north: [100, 100] });
    });
});
