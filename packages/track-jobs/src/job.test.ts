import { describe, expect, it } from "@jest/globals";
import type { JobSpec, QueueConfig, StepSpec } from "@sardinestage/describe-work";
import { JobState, RunEnd } from "@sardinestage/describe-work";
import { applyProgress } from "./applyProgress.js";
import { applyRunEnd } from "./applyRunEnd.js";
import { applyRunStart } from "./applyRunStart.js";
import { decodeFinishedJob } from "./decodeFinishedJob.js";
import { decodeJobRecord } from "./decodeJobRecord.js";
import { encodeJobRecord } from "./encodeJobRecord.js";
import { encodeProgress } from "./encodeProgress.js";
import { Job } from "./job.js";
import { openDueOccurrences } from "./openDueOccurrences.js";
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
    const task = job.openOccurrences.get(0)?.steps[step].tasks[index];
    if (task === undefined) {
        throw new Error("The job's first occurrence isn't open, or it has no such task.");
    }
    return task;
}

describe("A job's record", () => {
    it("decodes to the job that was encoded", () => {
        const { spec } = createJob([
            createStep(),
            createStep({ dependsOn: [0], longRunning: true, tailLatencyTargetMs: 20 }),
        ]);
        expect(decodeJobRecord(encodeJobRecord({ spec, queue, acceptedAtMs: NOW_MS }))).toEqual({
            spec,
            queue,
            acceptedAtMs: NOW_MS,
        });
    });
});

describe("A job's progress", () => {
    it("restores runs, failures, checkpoints and ends after a takeover", () => {
        const job = createJob([createStep({ taskCount: 3 }), createStep({ dependsOn: [0] })]);
        applyRunStart(getTask(job, 0, 0), "w1", 1, 0);
        applyRunEnd(getTask(job, 0, 0), { run: 1, end: RunEnd.Done, checkpoint: "" }, NOW_MS);
        applyRunStart(getTask(job, 0, 1), "w2", 1, 0);
        applyRunEnd(getTask(job, 0, 1), { run: 1, end: RunEnd.Failed, checkpoint: "saved" }, NOW_MS);
        applyRunStart(getTask(job, 0, 1), "w3", 2, 0);
        const after = new Job("job", job.spec, queue, NOW_MS);
        applyProgress(after, encodeProgress(job));
        expect(getTask(after, 0, 0).phase).toBe(TaskPhase.Done);
        expect(getTask(after, 0, 1)).toMatchObject({
            phase: TaskPhase.Ordered,
            run: 2,
            failedRuns: new Set([1]),
            workerId: "w3",
            checkpoint: "saved",
        });
        expect(getTask(after, 0, 2).run).toBe(0);
    });

    it("has a final state and an end time only for a finished job", () => {
        const job = createJob([createStep({ taskCount: 1 })]);
        expect(decodeFinishedJob(encodeProgress(job))).toBeUndefined();
        applyRunEnd(getTask(job, 0, 0), { run: 1, end: RunEnd.Done, checkpoint: "" }, NOW_MS + 5);
        expect(decodeFinishedJob(encodeProgress(job))).toEqual({ state: JobState.Completed, finishedAtMs: NOW_MS + 5 });
    });
});

describe("A task's end", () => {
    it("counts only failed runs as attempts", () => {
        const job = createJob([createStep({ taskCount: 1 })]);
        const ends = [RunEnd.Stopped, RunEnd.Lapsed, RunEnd.Failed, RunEnd.Stopped];
        ends.forEach((end, index) => {
            applyRunStart(getTask(job, 0, 0), "w", index + 1, 0);
            applyRunEnd(getTask(job, 0, 0), { run: index + 1, end, checkpoint: "" }, NOW_MS);
        });
        expect(job.state).toBe(JobState.Running);
        applyRunEnd(getTask(job, 0, 0), { run: 5, end: RunEnd.Failed, checkpoint: "" }, NOW_MS);
        expect(job.state).toBe(JobState.Failed);
    });

    it("counts a failed run once, however often it is reported", () => {
        const job = createJob([createStep({ taskCount: 1 })]);
        applyRunStart(getTask(job, 0, 0), "w", 1, 0);
        applyRunEnd(getTask(job, 0, 0), { run: 1, end: RunEnd.Failed, checkpoint: "" }, NOW_MS);
        const after = new Job("job", job.spec, queue, NOW_MS);
        applyProgress(after, encodeProgress(job));
        applyRunEnd(getTask(after, 0, 0), { run: 1, end: RunEnd.Failed, checkpoint: "" }, NOW_MS);
        expect(after.state).toBe(JobState.Running);
        applyRunEnd(getTask(after, 0, 0), { run: 2, end: RunEnd.Failed, checkpoint: "" }, NOW_MS);
        expect(after.state).toBe(JobState.Failed);
    });

    it("counts a gang's failed run once, whichever members report it", () => {
        const job = createJob([createStep({ taskCount: 3, gang: true })]);
        [0, 1, 2].forEach(index => {
            applyRunStart(getTask(job, 0, index), "w", 1, 0);
            applyRunEnd(getTask(job, 0, index), { run: 1, end: RunEnd.Failed, checkpoint: "" }, NOW_MS);
        });
        expect(job.state).toBe(JobState.Running);
    });

    it("never finishes a long-running task", () => {
        const job = createJob([createStep({ taskCount: 1, longRunning: true })]);
        applyRunStart(getTask(job, 0, 0), "w", 1, 0);
        applyRunEnd(getTask(job, 0, 0), { run: 1, end: RunEnd.Done, checkpoint: "" }, NOW_MS);
        expect(getTask(job, 0, 0).phase).toBe(TaskPhase.Waiting);
    });

    it("finishes the whole gang when one member is done", () => {
        const job = createJob([createStep({ taskCount: 3, gang: true })]);
        applyRunEnd(getTask(job, 0, 1), { run: 1, end: RunEnd.Done, checkpoint: "" }, NOW_MS);
        expect(job.state).toBe(JobState.Completed);
    });
});

describe("A repeated job", () => {
    it("opens each occurrence when it is due, and is completed when all are done", () => {
        const job = createJob([createStep({ taskCount: 1 })], {
            repeatCount: 2,
            firstRunMs: NOW_MS + 100,
            intervalMs: 50,
        });
        expect(job.openOccurrences.size).toBe(0);
        expect(openDueOccurrences(job, NOW_MS + 100)).toBe(NOW_MS + 150);
        applyRunEnd(getTask(job, 0, 0), { run: 1, end: RunEnd.Done, checkpoint: "" }, NOW_MS);
        expect(job.isFinished).toBe(false);
        expect(openDueOccurrences(job, NOW_MS + 150)).toBeUndefined();
        const last = job.openOccurrences.get(1)?.steps[0].tasks[0];
        expect(last).toBeDefined();
        if (last !== undefined) {
            applyRunEnd(last, { run: 1, end: RunEnd.Done, checkpoint: "" }, NOW_MS);
        }
        expect(job.state).toBe(JobState.Completed);
    });
});
