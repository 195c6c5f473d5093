import type { JobSpec, QueueConfig } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import type { JobWatcher } from "./jobWatcher.js";
import type { Occurrence } from "./occurrence.js";
import type { Task } from "./task.js";

/** An accepted job and its progress. */
export class Job {
    /** Occurrences that are due and not done, by number. */
    readonly openOccurrences = new Map<number, Occurrence>();
    /** Numbers of the occurrences that are done. */
    readonly doneOccurrences = new Set<number>();
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
    ) {}

    /** State of the job; setting it notifies the watcher. */
    get state(): JobState {
        return this.currentState;
    }

    set state(state: JobState) {
        this.currentState = state;
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

    /** Lists the tasks of all open occurrences. */
    *listTasks(): Iterable<Task> {
        for (const occurrence of this.openOccurrences.values()) {
            for (const step of occurrence.steps) {
                yield* step.tasks;
            }
        }
    }

    /** Total number of occurrences of the job. */
    get occurrenceCount(): number {
        return Math.max(1, this.spec.repeatCount);
    }
}
