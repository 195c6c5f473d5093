import type { JobSpec, QueueConfig } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import { IndexRanges } from "./indexRanges.js";
import { JobChanges } from "./jobChanges.js";
import type { JobWatcher } from "./jobWatcher.js";
import { Occurrence } from "./occurrence.js";
import type { Task } from "./task.js";
import { UnstartedOccurrences } from "./unstartedOccurrences.js";

/** A job with more tasks than this, over all occurrences, is partitioned. */
const MAX_TASKS_UNPARTITIONED = 128;

/** An accepted job and its progress. */
export class Job {
    /** Occurrences that are due, not done, and wait or run; further ones may be due that aren't opened yet. */
    readonly openOccurrences = new Map<number, Occurrence>();
    /** Numbers of the occurrences that are done. */
    doneOccurrences = new IndexRanges();
    /** Numbers of the occurrences that are open or done. */
    readonly begunOccurrences = new IndexRanges();
    /** What has to be recorded of the job. */
    readonly changes: JobChanges;
    /** Whether the job has so many tasks that its progress takes several records and done tasks are only counted. */
    readonly isPartitioned: boolean;
    /** The open occurrences of which no task has had a run. */
    readonly unstarted = new UnstartedOccurrences();
    private activeTasks = 0;
    private currentState = JobState.Queued;
    private watcher: JobWatcher | undefined;
    /** When the job finished, in Unix milliseconds; 0 before. */
    finishedAtMs = 0;

    /**
     * @param id Id that the caller chose.
     * @param spec The job as submitted.
     * @param queue Configuration of the queue when the job was accepted.
     * @param acceptedAtMs When the job was accepted, in Unix milliseconds.
     */
    constructor(
        readonly id: string,
        readonly spec: JobSpec,
        readonly queue: QueueConfig,
        readonly acceptedAtMs: number,
    ) {
        const tasksEach = spec.steps.reduce((sum, step) => sum + step.taskCount, 0);
        this.isPartitioned = tasksEach * this.occurrenceCount > MAX_TASKS_UNPARTITIONED;
        this.changes = new JobChanges(this);
    }

    /** State of the job; setting it notifies the watcher. */
    get state(): JobState {
        return this.currentState;
    }

    set state(state: JobState) {
        this.currentState = state;
        this.changes.noteState();
        this.noteChanged();
    }

    /** Sets the watcher that is notified of changes; `undefined` removes it. */
    setWatcher(watcher: JobWatcher | undefined): void {
        this.watcher = watcher;
    }

    /** Notifies the watcher that the job's set of startable tasks may have changed. */
    noteChanged(): void {
        this.watcher?.noteChanged();
    }

    /** Notifies the watcher that a task is throttled, that is, runs below its full speed. */
    noteThrottled(task: Task): void {
        this.watcher?.noteThrottled(task);
    }

    /** Whether the job is completed, failed or cancelled, so that no task starts any more. */
    get isFinished(): boolean {
        return this.state === JobState.Completed || this.state === JobState.Failed
            || this.state === JobState.Cancelled;
    }

    /** When an occurrence may start, in Unix milliseconds. */
    getDueTime(occurrence: number): number {
        const { repeatCount, firstRunMs, intervalMs } = this.spec;
        return repeatCount > 0 ? firstRunMs + occurrence * intervalMs : this.acceptedAtMs;
    }

    /** Opens an occurrence that is neither open nor done. */
    addOccurrence(number: number): Occurrence {
        const occurrence = new Occurrence(this, number, this.getDueTime(number));
        this.openOccurrences.set(number, occurrence);
        this.begunOccurrences.add(number);
        return occurrence;
    }

    /** Moves an open occurrence to the done ones. */
    finishOccurrence(occurrence: Occurrence): void {
        this.openOccurrences.delete(occurrence.number);
        this.doneOccurrences.add(occurrence.number);
        this.changes.noteOccurrenceDone(occurrence);
        this.noteChanged();
    }

    /**
     * Restores which occurrences are done.
     *
     * @param numbers Their numbers, as earlier versions recorded them.
     * @param bounds Bounds of ranges of further numbers.
     */
    restoreDone(numbers: readonly number[], bounds: readonly number[]): void {
        this.doneOccurrences = new IndexRanges(bounds);
        numbers.forEach(number => this.doneOccurrences.add(number));
        this.begunOccurrences.addAll(this.doneOccurrences);
    }

    /** Adds `change`, which may be negative, to the number of active tasks. */
    noteActive(change: number): void {
        this.activeTasks += change;
    }

    /** Whether any task may be active on a worker. */
    get hasActiveTask(): boolean {
        return this.activeTasks > 0;
    }

    /** Lists all tasks of the open occurrences, as objects. Only for short jobs. */
    *listTasks(): Iterable<Task> {
        for (const occurrence of this.openOccurrences.values()) {
            for (const step of occurrence.steps) {
                yield* step.tasks;
            }
        }
    }

    /** Lists the tasks of the open occurrences that exist as objects: among others all that are active. */
    *listKnownTasks(): Iterable<Task> {
        for (const occurrence of this.openOccurrences.values()) {
            for (const step of occurrence.listKnownSteps()) {
                yield* step.listKnown();
            }
        }
    }

    /** Total number of occurrences of the job. */
    get occurrenceCount(): number {
        return Math.max(1, this.spec.repeatCount);
    }
}
