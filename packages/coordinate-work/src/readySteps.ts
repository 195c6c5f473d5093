import type { Job, Task } from "@sardinestage/track-jobs";
import { openDueOccurrences, TaskPhase } from "@sardinestage/track-jobs";
import type { ReadyList } from "./readyList.js";

/** What is kept of a job that has something to start or an occurrence to come. */
interface Entry {
    /** Which job it is, in the order in which they came. */
    readonly number: number;
    steps: ReadyList["steps"];
    /** When its next occurrence is due, in Unix milliseconds; infinite when none is. */
    dueMs: number;
}

/** Keeps the steps of which tasks could start; what it costs goes with what has changed since it was last asked. */
export class ReadySteps {
    private readonly entries = new Map<Job, Entry>();
    private readonly touched = new Set<Job>();
    /** Jobs that have steps to start. */
    private readonly starting = new Set<Entry>();
    /** Jobs of which an occurrence is still to come. */
    private readonly coming = new Map<Job, Entry>();
    private nextDueMs = Infinity;
    private jobs = 0;

    /** Adds a job. */
    addJob(job: Job, noteSlowed: (task: Task) => void): void {
        this.entries.set(job, { number: this.jobs++, steps: [], dueMs: Infinity });
        this.touched.add(job);
        job.setWatcher({ noteTouched: () => this.touched.add(job), noteSlowed });
    }

    /** Removes a job. */
    removeJob(job: Job): void {
        const entry = this.entries.get(job);
        job.setWatcher(undefined);
        this.entries.delete(job);
        this.touched.delete(job);
        this.coming.delete(job);
        if (entry !== undefined) {
            this.starting.delete(entry);
            this.updateNextDue(entry.dueMs, Infinity);
        }
    }

    /** Opens the occurrences that have become due, and lists what could start. */
    updateList(wallNowMs: number): ReadyList {
        if (this.nextDueMs <= wallNowMs) {
            const due = [...this.coming].filter(([, entry]) => entry.dueMs <= wallNowMs);
            due.forEach(([job]) => this.touched.add(job));
        }
        if (this.touched.size > 0) {
            for (const job of this.touched) {
                this.updateJob(job, wallNowMs);
            }
            this.touched.clear();
        }
        const starting = [...this.starting].sort((left, right) => left.number - right.number);
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
            this.starting.add(entry);
        }
        else {
            this.starting.delete(entry);
        }
        if (entry.dueMs < Infinity) {
            this.coming.set(job, entry);
        }
        else {
            this.coming.delete(job);
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
            for (const entry of this.coming.values()) {
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
