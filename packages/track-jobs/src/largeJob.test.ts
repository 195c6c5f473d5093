import { describe, expect, it } from "@jest/globals";
import type { JobSpec, QueueConfig, StepSpec } from "@sardinestage/describe-work";
import { JobState, RunEnd } from "@sardinestage/describe-work";
import { applyProgress } from "./applyProgress.js";
import { applyProgressPart } from "./applyProgressPart.js";
import { applyRunEnd } from "./applyRunEnd.js";
import { applyRunStart } from "./applyRunStart.js";
import { decodeFinishedJob } from "./decodeFinishedJob.js";
import { encodeProgress } from "./encodeProgress.js";
import { Job } from "./job.js";
import { openDueOccurrences } from "./openDueOccurrences.js";
import { PartKey } from "./partKey.js";
import { recordEncoder } from "./recordEncoder.js";
import { takeRecords } from "./takeRecords.js";
import { TaskPhase } from "./taskPhase.js";

const NOW_MS = 1_800_000_000_000;
const queue: QueueConfig = {
    name: "queue",
    host: "host",
    pathPrefix: "/",
    service: "service",
    priority: 0,
    maxAttempts: 2,
    stretch: 2,
    targetLatencyMs: 500,
};

function createStep(changes: Partial<StepSpec> = {}): StepSpec {
    return {
        taskCount: 2,
        cpuMillis: 100,
        memoryMb: 100,
        accelerators: 0,
        estimateMs: 100,
        dependsOn: [],
        savesProgress: true,
        gang: false,
        sameRack: false,
        requiredLabel: "label",
        preferredRack: "rack",
        maxTasksPerWorker: 3,
        speculative: false,
        longRunning: false,
        image: "image",
        tailLatencyTargetMs: 0,
        isBestEffort: true,
        maxUnavailable: 1,
        ...changes,
    };
}

function createJob(steps: readonly StepSpec[], repeats: Partial<JobSpec> = {}): Job {
    const spec = { payload: "p", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0, ...repeats };
    const job = new Job("job", spec, queue, NOW_MS);
    openDueOccurrences(job, NOW_MS);
    return job;
}

function getTask(job: Job, step: number, index: number) {
    const task = job.openOccurrences.get(0)?.steps[step].getTask(index);
    if (task === undefined) {
        throw new Error("The job's first occurrence isn't open, or it has no such task.");
    }
    return task;
}

describe("A schedule that is long due", () => {
    const OCCURRENCES = 105_120;
    const INTERVAL_MS = 300_000;

    function createSchedule(): Job {
        return createJob([createStep({ taskCount: 1 })], {
            repeatCount: OCCURRENCES + 1,
            firstRunMs: NOW_MS - (OCCURRENCES - 1) * INTERVAL_MS,
            intervalMs: INTERVAL_MS,
        });
    }

    function finish(job: Job, number: number): void {
        const task = job.openOccurrences.get(number)?.steps[0].getTask(0);
        if (task === undefined) {
            throw new Error(`Occurrence ${number} isn't open.`);
        }
        applyRunStart(task, "w", 1, 0);
        applyRunEnd(task, { run: 1, end: RunEnd.Done, checkpoint: "" }, NOW_MS);
    }

    it("opens only some of the oldest and of the newest occurrences", () => {
        const job = createSchedule();
        const open = [...job.openOccurrences.keys()].sort((left, right) => left - right);
        expect(open.length).toBeLessThan(100);
        expect(open[0]).toBe(0);
        expect(open.at(-1)).toBe(OCCURRENCES - 1);
    });

    it("opens further ones in order as others start, and a newly due one at once", () => {
        const job = createSchedule();
        finish(job, 0);
        openDueOccurrences(job, NOW_MS);
        expect(job.openOccurrences.has(32)).toBe(true);
        expect(job.openOccurrences.has(33)).toBe(false);
        finish(job, OCCURRENCES - 1);
        openDueOccurrences(job, NOW_MS + INTERVAL_MS);
        expect(job.openOccurrences.has(OCCURRENCES)).toBe(true);
    });

    it("comes to its end, and records which occurrences are done in a few bytes", () => {
        const job = createSchedule();
        let open = [...job.openOccurrences.keys()];
        while (open.length > 0) {
            open.forEach(number => finish(job, number));
            openDueOccurrences(job, NOW_MS + INTERVAL_MS);
            open = [...job.openOccurrences.keys()];
            expect(encodeProgress(job).length).toBeLessThan(200);
        }
        expect(job.state).toBe(JobState.Completed);
    });

    it("is restored with the occurrences that are done", () => {
        const job = createSchedule();
        [0, 1, 5, OCCURRENCES - 1].forEach(number => finish(job, number));
        const after = new Job("job", job.spec, queue, NOW_MS);
        applyProgress(after, encodeProgress(job));
        openDueOccurrences(after, NOW_MS);
        expect([...after.doneOccurrences.listNumbers()]).toEqual([0, 1, 5, OCCURRENCES - 1]);
        expect(after.openOccurrences.has(2)).toBe(true);
        expect(after.openOccurrences.has(5)).toBe(false);
    });
});

describe("The progress of a job of many tasks", () => {
    const MAX_RECORD_BYTES = 262_144;
    const CHECKPOINT = "0123456789abcdef";

    /** Starts all tasks, and ends every third one. */
    function createRunningJob(taskCount: number): Job {
        const job = createJob([createStep({ taskCount })]);
        for (let index = 0; index < taskCount; index++) {
            const task = getTask(job, 0, index);
            applyRunStart(task, `worker-${index % 45}`, 1, 0);
            task.checkpoint = CHECKPOINT;
            if (index % 3 === 0) {
                applyRunEnd(task, { run: 1, end: RunEnd.Done, checkpoint: "" }, NOW_MS);
            }
        }
        return job;
    }

    function recordChanges(job: Job, stored: Map<string, Uint8Array>): readonly string[] {
        const changes = takeRecords(job, MAX_RECORD_BYTES);
        changes.forEach(({ key, encode }) => {
            if (encode === undefined) {
                stored.delete(key);
            }
            else {
                stored.set(key, encode());
            }
        });
        return changes.map(({ key }) => key);
    }

    function restore(job: Job, stored: ReadonlyMap<string, Uint8Array>): Job {
        const after = new Job(job.id, job.spec, queue, NOW_MS);
        applyProgress(after, stored.get(job.id) ?? new Uint8Array());
        stored.forEach((value, key) => {
            const partKey = PartKey.parse(key);
            if (partKey !== undefined) {
                applyProgressPart(after, partKey, value);
            }
        });
        return after;
    }

    function describeTasks(job: Job): readonly string[] {
        return job.openOccurrences.get(0)?.steps[0].tasks.map(({ phase, workerId, checkpoint }) =>
            `${phase} ${workerId} ${checkpoint}`
        ) ?? [];
    }

    it("fits the store's records, however many tasks run", () => {
        const stored = new Map<string, Uint8Array>();
        recordChanges(createRunningJob(10_000), stored);
        expect(Math.max(...[...stored.values()].map(({ length }) => length))).toBeLessThan(MAX_RECORD_BYTES / 10);
    });

    it("is restored from its records", () => {
        const job = createRunningJob(1000);
        const stored = new Map<string, Uint8Array>();
        recordChanges(job, stored);
        expect(describeTasks(restore(job, stored))).toEqual(describeTasks(job));
    });

    it("costs one record when one task has changed", () => {
        const job = createRunningJob(10_000);
        const stored = new Map<string, Uint8Array>();
        recordChanges(job, stored);
        applyRunEnd(getTask(job, 0, 4000), { run: 1, end: RunEnd.Done, checkpoint: "" }, NOW_MS);
        expect(recordChanges(job, stored)).toHaveLength(1);
        expect(describeTasks(restore(job, stored))).toEqual(describeTasks(job));
    });

    it("leaves no part behind when the job has ended", () => {
        const job = createRunningJob(1000);
        const stored = new Map<string, Uint8Array>();
        recordChanges(job, stored);
        for (let index = 0; index < 1000; index++) {
            if (index % 3 !== 0) {
                applyRunEnd(getTask(job, 0, index), { run: 1, end: RunEnd.Done, checkpoint: "" }, NOW_MS);
            }
        }
        recordChanges(job, stored);
        expect([...stored.keys()]).toEqual([job.id]);
        expect(decodeFinishedJob(stored.get(job.id) ?? new Uint8Array())?.state).toBe(JobState.Completed);
    });

    it("leaves checkpoints out rather than outgrow a record", () => {
        const job = createRunningJob(1000);
        getTask(job, 0, 1).checkpoint = "x".repeat(MAX_RECORD_BYTES);
        const stored = new Map<string, Uint8Array>();
        recordChanges(job, stored);
        expect(Math.max(...[...stored.values()].map(({ length }) => length))).toBeLessThan(MAX_RECORD_BYTES);
        expect(getTask(restore(job, stored), 0, 1)).toMatchObject({ run: 1, workerId: "worker-1", checkpoint: "" });
    });

    describe("written by an earlier version as one record", () => {
        /** The record of an earlier version: `[state, finished at, done occurrences, [[occurrence, steps]]]`. */
        function encodeEarlier(job: Job): Uint8Array {
            const rows = job.openOccurrences.get(0)?.steps[0].tasks.map(task =>
                task.phase === TaskPhase.Done
                    ? [task.index, TaskPhase.Done, 1]
                    : [task.index, TaskPhase.Ordered, task.run, [], task.workerId, task.checkpoint]
            );
            return recordEncoder.encode([job.state, 0, [], [[0, [[0, [], rows]]]]]);
        }

        it("is read, and written anew in parts", () => {
            const job = createRunningJob(1000);
            const stored = new Map([[job.id, encodeEarlier(job)]]);
            const after = restore(job, stored);
            expect(describeTasks(after)).toEqual(describeTasks(job));
            recordChanges(after, stored);
            expect(stored.size).toBeGreaterThan(10);
            expect(describeTasks(restore(job, stored))).toEqual(describeTasks(job));
        });

        it("loses nothing when the process ends in the middle of that", () => {
            const job = createRunningJob(1000);
            const earlier = new Map([[job.id, encodeEarlier(job)]]);
            const after = restore(job, earlier);
            const ended = [1, 2, 500];
            ended.forEach(index =>
                applyRunEnd(getTask(after, 0, index), { run: 1, end: RunEnd.Done, checkpoint: "" }, NOW_MS)
            );
            const changes = takeRecords(after, MAX_RECORD_BYTES);
            for (let written = 0; written <= changes.length; written++) {
                const stored = new Map(earlier);
                changes.slice(0, written).forEach(({ key, encode }) => stored.set(key, encode?.() ?? new Uint8Array()));
                const restored = restore(job, stored);
                // Ends that aren't written yet are reported again; all other tasks have to be as they were.
                const differing = describeTasks(restored).filter((text, index) =>
                    !ended.includes(index) && text !== describeTasks(job)[index]
                );
                expect(differing).toEqual([]);
            }
        });
    });
});
