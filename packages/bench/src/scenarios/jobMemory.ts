import { RunEnd } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { applyRunEnd, applyRunStart, Job, openDueOccurrences } from "@sardinestage/track-jobs";
import type { Figure } from "../figure.js";
import type { Scenario } from "../scenario.js";

const TASKS = 10_000;
const STEPS = 10;
const OCCURRENCES = 100_000;
const WALL_NOW_MS = 1_800_000_000_000;

/** Measures what a coordinator's process keeps of a job, by what its tasks and occurrences are doing. */
export const jobMemory: Scenario = {
    name: "job-memory",
    description: "memory for each task and occurrence of a job: not considered yet, running, done",
    run: () => {
        const waiting = measure(() => createJob(STEPS, 0), TASKS * STEPS);
        const running = measure(() => startTasks(createJob(STEPS, 0)), TASKS * STEPS);
        const done = measure(() => finishTasks(startTasks(createJob(STEPS, 0))), TASKS * STEPS);
        const due = measure(() => createJob(1, OCCURRENCES), OCCURRENCES);
        return Promise.resolve([
            createFigure("a task that no round has come to", waiting),
            createFigure("a running task", running),
            createFigure("a task that is done, in a step with others", done),
            createFigure("an occurrence that is due", due),
        ]);
    },
};

function createJob(stepCount: number, repeatCount: number): Job {
    const steps = Array.from({ length: stepCount }, () => createStep({ taskCount: TASKS }));
    const spec = { payload: "", steps, repeatCount, firstRunMs: 0, intervalMs: 1000 };
    const queue = {
        name: "queue",
        host: "host",
        pathPrefix: "/",
        service: "service",
        priority: 0,
        maxAttempts: 3,
        stretch: 2,
        targetLatencyMs: 1000,
    };
    const job = new Job("job", spec, queue, WALL_NOW_MS);
    openDueOccurrences(job, WALL_NOW_MS);
    return job;
}

function startTasks(job: Job): Job {
    for (const task of job.listTasks()) {
        applyRunStart(task, "worker", 1, 0);
    }
    return job;
}

/** Ends all tasks but one of each step, so that the steps stay. */
function finishTasks(job: Job): Job {
    for (const task of job.listTasks()) {
        if (task.index > 0) {
            applyRunEnd(task, { run: 1, end: RunEnd.Done, checkpoint: "" }, WALL_NOW_MS);
        }
    }
    return job;
}

/** Returns the bytes of the heap that a value takes, divided by a count. */
function measure(create: () => Job, count: number): number {
    globalThis.gc?.();
    const before = process.memoryUsage().heapUsed;
    const job = create();
    globalThis.gc?.();
    const bytes = process.memoryUsage().heapUsed - before;
    // Keeps the job in memory until it is measured.
    return job.id === "" ? 0 : bytes / count;
}

function createFigure(name: string, value: number): Figure {
    return { name, unit: "bytes", value, ok: true };
}
