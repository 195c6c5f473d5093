import type { Job, Task } from "@sardinestage/track-jobs";
import { openDueOccurrences, TaskPhase } from "@sardinestage/track-jobs";
import type { ReadyList } from "./readyList.js";

/** What is kept of a job that has something to start or an occurrence to come. */
interface JobEntry {
    /** Which job it is, in the order in which they came. */
    readonly number: number;
    steps: ReadyList["steps"];
    /** When its next occurrence is due, in Unix milliseconds; infinite when none is. */
    dueMs: number;
}

/** Keeps the steps of which tasks could start; what it costs goes with what has changed since it was last asked. */
export class ReadySteps {
    private readonly entries = new Map<Job, JobEntry>();
    private readonly changed = new Set<Job>();
    /** Jobs that have steps to start. */
    private readonly startable = new Set<JobEntry>();
    /** Jobs of which an occurrence is still to come. */
    private readonly upcoming = new Map<Job, JobEntry>();
    private nextDueMs = Infinity;
    private jobs = 0;

    /** Adds a job. */
    addJob(job: Job, noteSlowed: (task: Task) => void): void {
        this.entries.set(job, { number: this.jobs++, steps: [], dueMs: Infinity });
        this.changed.add(job);
        job.setWatcher({ noteTouched: () => this.changed.add(job), noteSlowed });
    }

    /** Removes a job. */
    removeJob(job: Job): void {
        const entry = this.entries.get(job);
        job.setWatcher(undefined);
        this.entries.delete(job);
        this.changed.delete(job);
        this.upcoming.delete(job);
        if (entry !== undefined) {
            this.startable.delete(entry);
            this.updateNextDue(entry.dueMs, Infinity);
        }
    }

    /** Opens the occurrences that have become due, and lists what could start. */
    updateList(wallNowMs: number): ReadyList {
        if (this.nextDueMs <= wallNowMs) {
            const due = [...this.upcoming].filter(([, entry]) => entry.dueMs <= wallNowMs);
            due.forEach(([job]) => this.changed.add(job));
        }
        if (this.changed.size > 0) {
            for (const job of this.changed) {
                this.updateJob(job, wallNowMs);
            }
            this.changed.clear();
        }
        const starting = [...this.startable].sort((left, right) => left.number - right.number);
        return {
            steps: starting.flatMap(entry => entry.steps),
            nextDueMs: this.nextDueMs === Infinity ? undefined : this.nextDueMs,
        };
    }

    private updateJob(job: Job, wallNowMs: number): void {
        const entry = this.entries.get(job);
        if (entry === undefined) {
            return;
        }
        const dueBeforeMs = entry.dueMs;
        entry.dueMs = openDueOccurrences(job, wallNowMs) ?? Infinity;
        entry.steps = job.isFinished ? [] : listSteps(job);
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

    /** All are looked through only when the one that came first has changed. */
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

function listSteps(job: Job): ReadyList["steps"] {
    return [...job.open.values()].flatMap(occurrence =>
        occurrence.steps
            .filter(step => step.isWaiting && step.isReady)
            .map(step => ({ step, waiting: step.tasks.filter(task => task.phase === TaskPhase.Waiting) }))
    );
}
