import type { JobSpec, QueueConfig } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import type { JobWatcher } from "./jobWatcher.js";
import type { Occurrence } from "./occurrence.js";
import type { Task } from "./task.js";

/** A job that was accepted, and how far it is. */
export class Job {
    /** Occurrences that are due and not done, by number. */
    readonly open = new Map<number, Occurrence>();
    readonly doneOccurrences = new Set<number>();
    private currentState = JobState.Queued;
    private watcher: JobWatcher | undefined;
    /** When it came to its end, in Unix milliseconds; 0 before. */
    finishedAtMs = 0;

    /**
     * @param id Chosen by the caller.
     * @param spec What the caller handed in.
     * @param queue The queue as it was configured when the job was accepted.
     * @param acceptedAtMs When it was accepted, in Unix milliseconds.
     */
    constructor(
        readonly id: string,
        readonly spec: JobSpec,
        readonly queue: QueueConfig,
        readonly acceptedAtMs: number,
    ) {}

    /** Where it stands. */
    get state(): JobState {
        return this.currentState;
    }

    set state(state: JobState) {
        this.currentState = state;
        this.noteTouched();
    }

    /** Has somebody told of what happens to it; nobody with `undefined`. */
    setWatcher(watcher: JobWatcher | undefined): void {
        this.watcher = watcher;
    }

    /** Tells whoever watches that what could start of it may have changed. */
    noteTouched(): void {
        this.watcher?.noteTouched();
    }

    /** Tells whoever watches that a task isn't allowed its full speed. */
    noteSlowed(task: Task): void {
        this.watcher?.noteSlowed(task);
    }

    /** Whether nothing of it will run any more. */
    get isFinished(): boolean {
        return this.state === JobState.Completed || this.state === JobState.Failed
            || this.state === JobState.Cancelled;
    }

    /** When an occurrence may begin, in Unix milliseconds. */
    getDueTime(occurrence: number): number {
        const { repeatCount, firstRunMs, intervalMs } = this.spec;
        return repeatCount > 0 ? firstRunMs + occurrence * intervalMs : this.acceptedAtMs;
    }

    /** The tasks of all its open occurrences. */
    *listTasks(): Iterable<Task> {
        for (const occurrence of this.open.values()) {
            for (const step of occurrence.steps) {
                yield* step.tasks;
            }
        }
    }

    /** How many occurrences it has in all. */
    get occurrenceCount(): number {
        return Math.max(1, this.spec.repeatCount);
    }
}
