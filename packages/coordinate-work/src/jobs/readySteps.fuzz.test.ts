import { describe, expect, it } from "@jest/globals";
import { JobState, RunEnd } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import type { Job, StepRun, Task } from "@sardinestage/track-jobs";
import {
    applyCancel,
    applyRunEnd,
    applyRunLost,
    applyRunStart,
    encodeJobRecord,
    encodeProgress,
    openDueOccurrences,
    TaskPhase,
} from "@sardinestage/track-jobs";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { StoredProgress } from "../records/storedProgress.js";
import { createQueue } from "../testing/createQueue.js";
import { JobRegistry } from "./jobRegistry.js";

const SEEDS = Array.from({ length: 8 }, (_unused, index) => 20261204 + index);
const EVENTS = 1500;
const MAX_JOBS = 7;

/** Lists the steps that have tasks to start by scanning all tasks. */
function listByFullScan(registry: JobRegistry, wallNowMs: number) {
    const steps: { step: StepRun; waiting: Task[] }[] = [];
    let nextDueMs: number | undefined;
    for (const job of registry.live.values()) {
        if (job.isFinished) {
            continue;
        }
        const dueMs = openDueOccurrences(job, wallNowMs);
        nextDueMs = dueMs === undefined ? nextDueMs : Math.min(dueMs, nextDueMs ?? Infinity);
        for (const occurrence of job.openOccurrences.values()) {
            for (const step of occurrence.steps) {
                const waiting = step.tasks.filter(task => task.phase === TaskPhase.Waiting);
                const isReady = step.spec.dependsOn.every(earlier =>
                    occurrence.steps[earlier].tasks.every(task => task.phase === TaskPhase.Done)
                );
                if (waiting.length > 0 && isReady) {
                    steps.push({ step, waiting });
                }
            }
        }
    }
    return { steps, nextDueMs };
}

/** Names the steps and tasks of a list, since the tasks themselves refer to their whole jobs. */
function describeList({ steps, nextDueMs }: ReturnType<JobRegistry["listReady"]>) {
    const names = steps.map(({ step, waiting }) => ({
        job: step.occurrence.job.id,
        occurrence: step.occurrence.number,
        step: step.number,
        waiting: waiting.map(task => task.index),
    }));
    return { names, nextDueMs };
}

/** Applies random events to the jobs of a registry, such as workers, callers, time and takeovers cause. */
class EventSequence {
    registry = new JobRegistry();
    wallNowMs = 1_800_000_000_000;
    /** The states in which jobs have ended. */
    readonly ends = new Set<JobState>();
    private readonly records = new Map<string, Uint8Array>();
    private jobs = 0;
    private readonly pick: (limit: number) => number;

    constructor(seed: number) {
        const generator = xoroshiro128plus(seed);
        this.pick = limit => (generator.next() >>> 0) % limit;
    }

    takeEvent(): void {
        const { pick } = this;
        const choice = pick(40);
        if (choice === 0 || this.registry.live.size === 0) {
            this.addJob();
        }
        else if (choice === 1) {
            this.takeOver();
        }
        else if (choice <= 4) {
            this.wallNowMs += pick(800);
        }
        else if (choice === 5) {
            const job = this.pickJob();
            this.registry.openReportedOccurrence({ jobId: job.id, occurrence: pick(5), step: 0, index: 0 });
        }
        else if (choice === 6 && pick(10) === 0) {
            applyCancel(this.pickJob(), this.wallNowMs);
        }
        else {
            this.takeTaskEvent();
        }
        this.finishInactive();
    }

    private addJob(): void {
        const { pick } = this;
        if (this.registry.live.size >= MAX_JOBS) {
            return;
        }
        const isGang = pick(4) === 0;
        const steps = [
            createStep({ taskCount: 1 + pick(4), gang: isGang }),
            createStep({ taskCount: 1 + pick(3), dependsOn: pick(2) === 0 ? [0] : [] }),
            createStep({ taskCount: 1 + pick(2), dependsOn: [0, 1] }),
        ];
        const repeatCount = pick(3) === 0 ? 1 + pick(3) : 0;
        const spec = { payload: "", steps, repeatCount, firstRunMs: this.wallNowMs + pick(900), intervalMs: 700 };
        const id = `job${this.jobs++}`;
        const value = encodeJobRecord({ spec, queue: createQueue({ maxAttempts: 20 }), acceptedAtMs: this.wallNowMs });
        this.records.set(id, value);
        this.registry.addJob({ key: id, value });
    }

    private takeOver(): void {
        const next = new JobRegistry();
        for (const job of this.registry.live.values()) {
            const record = { key: job.id, value: this.records.get(job.id) };
            next.addJob(
                record,
                this.pick(4) === 0 && !job.isFinished ? undefined : new StoredProgress(encodeProgress(job)),
            );
        }
        this.registry = next;
    }

    private takeTaskEvent(): void {
        const { pick } = this;
        // Mostly tasks that aren't done, so that jobs end.
        const includesDone = pick(5) === 0;
        const tasks = [...this.pickJob().listTasks()].filter(each => includesDone || each.phase !== TaskPhase.Done);
        if (tasks.length === 0) {
            return;
        }
        const task = tasks[pick(tasks.length)];
        const run = Math.max(1, task.run - pick(2));
        const unusualEnds = [RunEnd.Failed, RunEnd.Stopped, RunEnd.Lapsed];
        switch (pick(6)) {
            case 0:
            case 1:
                applyRunStart(task, "w", task.run + 1, 0);
                return;
            case 2:
                if (task.phase === TaskPhase.Ordered) {
                    task.phase = pick(3) === 0 ? TaskPhase.Stopping : TaskPhase.Running;
                }
                return;
            case 3:
                applyRunLost(task);
                return;
            default:
                applyRunEnd(
                    task,
                    { run, end: pick(3) === 0 ? unusualEnds[pick(unusualEnds.length)] : RunEnd.Done, checkpoint: "" },
                    this.wallNowMs,
                );
        }
    }

    private finishInactive(): void {
        const isInactive = (job: Job) => job.isFinished && [...job.listTasks()].every(task => !task.isActive);
        const inactive = [...this.registry.live.values()].filter(isInactive);
        inactive.forEach(job => this.ends.add(job.state));
        inactive.filter(() => this.pick(2) === 0).forEach(job => this.registry.finishJob(job));
    }

    private pickJob(): Job {
        const jobs = [...this.registry.live.values()];
        return jobs[this.pick(jobs.length)];
    }
}

describe("The steps that have tasks to start", () => {
    describe.each(SEEDS)("in a random sequence of events with seed %d", seed => {
        it("are the ones that a scan of all tasks finds, after each event", () => {
            const sequence = new EventSequence(seed);
            let mostSteps = 0;
            for (let event = 0; event < EVENTS; event++) {
                sequence.takeEvent();
                const listed = describeList(sequence.registry.listReady(sequence.wallNowMs));
                const scanned = describeList(listByFullScan(sequence.registry, sequence.wallNowMs));
                // A comparison as text is far faster.
                expect(`${event} ${JSON.stringify(listed)}`).toBe(`${event} ${JSON.stringify(scanned)}`);
                mostSteps = Math.max(mostSteps, listed.names.length);
            }
            // The sequence is a useful test only if many steps wait at once and jobs end in both states.
            expect(mostSteps).toBeGreaterThan(5);
            expect([...sequence.ends].sort()).toEqual([JobState.Cancelled, JobState.Completed]);
        });

        it("have occurrences whose state is the one that a scan of their tasks finds", () => {
            const sequence = new EventSequence(seed);
            for (let event = 0; event < EVENTS; event++) {
                sequence.takeEvent();
                sequence.registry.listReady(sequence.wallNowMs);
                const occurrences = [...sequence.registry.live.values()].flatMap(
                    job => [...job.openOccurrences.values()],
                );
                const wrong = occurrences.filter(occurrence => {
                    const tasks = occurrence.steps.flatMap(step => step.tasks);
                    return occurrence.isStarted !== tasks.some(task => task.run > 0)
                        || occurrence.isDone !== tasks.every(task => task.phase === TaskPhase.Done);
                });
                expect(wrong).toHaveLength(0);
            }
        });
    });
});
