import type { Job, Occurrence, Task } from "@sardinestage/track-jobs";
import { openDueOccurrences } from "@sardinestage/track-jobs";
import type { ReadyList } from "./readyList.js";
import { ReadyStep } from "./readyStep.js";

/** Steps of open occurrences that all jobs together may have; beyond it each job has only a few occurrences open. */
const MAX_OPEN_STEPS = 16_384;
/**
 * Ready steps that one list may have of all occurrences with very many of them, and of one such occurrence at least:
 * more than one round starts, which bounds what a round takes in time and memory. The next list goes on from there.
 */
const MAX_LISTED_STEPS = 2048;
const MIN_LISTED_STEPS = 64;

/** The state kept of one job. */
interface JobEntry {
    /** Position in the order in which the jobs were added. */
    readonly number: number;
    /** The steps that have tasks to start. */
    steps: ReadyList["steps"];
    /** When its next occurrence is due, in Unix milliseconds; infinite when none is. */
    dueMs: number;
    /** Number of steps of its open occurrences. */
    openSteps: number;
    /** How many of its occurrences have more ready steps than were listed. */
    partialOccurrences: number;
}

/**
 * Lists the steps that are ready and have waiting tasks. Each call examines only the jobs that have changed since the
 * last call.
 */
export class ReadySteps {
    private readonly entries = new Map<Job, JobEntry>();
    /** Jobs that have changed since the last call. */
    private readonly changed = new Set<Job>();
    /** Jobs that have steps to start. */
    private readonly startable = new Set<JobEntry>();
    /** Jobs that have an occurrence still to come. */
    private readonly upcoming = new Map<Job, JobEntry>();
    private nextDueMs = Infinity;
    private jobs = 0;
    /** Number of steps of the open occurrences of all jobs. */
    private openSteps = 0;
    /** Jobs of which not all ready steps are listed, so that each list has others of them. */
    private readonly partial = new Set<Job>();
    private partialOccurrences = 0;
    /** For occurrences that were listed in part: the step from which the next list goes on. */
    private readonly nextSteps = new WeakMap<Occurrence, number>();

    /** Adds a job and watches its changes; `noteThrottled` is called when one of its tasks is throttled. */
    addJob(job: Job, noteThrottled: (task: Task) => void): void {
        this.entries.set(job, { number: this.jobs++, steps: [], dueMs: Infinity, openSteps: 0, partialOccurrences: 0 });
        this.changed.add(job);
        job.setWatcher({ noteChanged: () => this.changed.add(job), noteThrottled });
    }

    /** Removes a job and stops watching it. */
    removeJob(job: Job): void {
        const entry = this.entries.get(job);
        job.setWatcher(undefined);
        this.entries.delete(job);
        this.changed.delete(job);
        this.upcoming.delete(job);
        this.partial.delete(job);
        if (entry !== undefined) {
            this.startable.delete(entry);
            this.partialOccurrences -= entry.partialOccurrences;
            this.openSteps -= entry.openSteps;
            this.updateNextDue(entry.dueMs, Infinity);
        }
    }

    /** Opens the occurrences that have become due and lists the steps that have tasks to start. */
    updateList(wallNowMs: number): ReadyList {
        if (this.nextDueMs <= wallNowMs) {
            const due = [...this.upcoming].filter(([, entry]) => entry.dueMs <= wallNowMs);
            due.forEach(([job]) => this.changed.add(job));
        }
        this.partial.forEach(job => this.changed.add(job));
        if (this.changed.size > 0) {
            for (const job of this.changed) {
                this.updateJob(job, wallNowMs);
            }
            this.changed.clear();
        }
        const startable = [...this.startable].sort((left, right) => left.number - right.number);
        return {
            steps: startable.flatMap(entry => entry.steps),
            nextDueMs: this.nextDueMs === Infinity ? undefined : this.nextDueMs,
        };
    }

    private updateJob(job: Job, wallNowMs: number): void {
        const entry = this.entries.get(job);
        if (entry === undefined) {
            return;
        }
        const dueBeforeMs = entry.dueMs;
        const stepsEach = job.spec.steps.length;
        const maxOpen = Math.floor((MAX_OPEN_STEPS - this.openSteps + entry.openSteps) / stepsEach);
        entry.dueMs = openDueOccurrences(job, wallNowMs, { maxOpen }) ?? Infinity;
        this.openSteps -= entry.openSteps;
        entry.openSteps = job.openOccurrences.size * stepsEach;
        this.openSteps += entry.openSteps;
        this.listSteps(job, entry);
        if (entry.steps.length > 0) {
            this.startable.add(entry);
        }
        else {
            this.startable.delete(entry);
        }
        if (entry.dueMs < Infinity) {
            this.upcoming.set(job, entry);
        }
        else {
            this.upcoming.delete(job);
        }
        this.updateNextDue(dueBeforeMs, entry.dueMs);
    }

    /** Lists the steps of a job that have tasks to start. */
    private listSteps(job: Job, entry: JobEntry): void {
        const maxCount = Math.max(
            MIN_LISTED_STEPS,
            Math.floor(MAX_LISTED_STEPS / Math.max(1, this.partialOccurrences)),
        );
        const steps: ReadyStep[] = [];
        let partialOccurrences = 0;
        for (const occurrence of job.isFinished ? [] : job.openOccurrences.values()) {
            const listed = occurrence.listReadySteps(maxCount, this.nextSteps.get(occurrence));
            listed.steps.forEach(step => steps.push(new ReadyStep(step)));
            if (listed.next !== undefined) {
                this.nextSteps.set(occurrence, listed.next);
                partialOccurrences++;
            }
            else {
                this.nextSteps.delete(occurrence);
            }
        }
        this.partialOccurrences += partialOccurrences - entry.partialOccurrences;
        entry.partialOccurrences = partialOccurrences;
        entry.steps = steps;
        if (partialOccurrences > 0) {
            this.partial.add(job);
        }
        else {
            this.partial.delete(job);
        }
    }

    /** Updates the earliest due time. Searches all jobs only if the earliest one has moved to a later time. */
    private updateNextDue(beforeMs: number, dueMs: number): void {
        if (dueMs <= this.nextDueMs) {
            this.nextDueMs = dueMs;
        }
        else if (beforeMs <= this.nextDueMs) {
            this.nextDueMs = Infinity;
            for (const entry of this.upcoming.values()) {
                this.nextDueMs = Math.min(this.nextDueMs, entry.dueMs);
            }
        }
    }
}
