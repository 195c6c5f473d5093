import { TaskPhase } from "@sardinestage/types";
import type { Condemnation } from "./condemnation.js";
import type { TaskEntry } from "./taskEntry.js";
import type { WorkerHold } from "./workerHold.js";

/** The tasks, holds and condemnations of one failure domain. Changed by `applyTaskRecord` alone. */
export class TaskLedger {
    private readonly tasks = new Map<string, TaskEntry>();
    private readonly holds = new Map<string, WorkerHold>();
    private readonly condemnations = new Map<string, Condemnation>();
    private readonly contested = new Set<string>();
    private readonly waiting = new Set<string>();
    private readonly bound = new Map<string, Set<string>>();
    /** Offsets of the newest record for tasks that are not known, to judge a carried copy by. */
    private readonly unknownTouched = new Map<string, number>();

    /** A task, when it is known. */
    getTask(taskId: string): TaskEntry | undefined {
        return this.tasks.get(taskId);
    }

    /** Every known task. */
    listTasks(): IterableIterator<TaskEntry> {
        return this.tasks.values();
    }

    /** Ids of the tasks that wait for a worker, in the order in which they began to wait. */
    listWaiting(): ReadonlySet<string> {
        return this.waiting;
    }

    /** Ids of the tasks that are bound to a worker. */
    listBound(worker: string): ReadonlySet<string> {
        return this.bound.get(worker) ?? new Set();
    }

    /** Workers to which tasks are bound. */
    listBoundWorkers(): readonly string[] {
        return [...this.bound.keys()];
    }

    /** Who holds a worker. */
    getHold(worker: string): WorkerHold | undefined {
        return this.holds.get(worker);
    }

    /** The condemnation that stands against a worker. */
    getCondemnation(worker: string): Condemnation | undefined {
        return this.condemnations.get(worker);
    }

    /** Whether a condemnation was contested, or made void by a new hold. */
    isContested(condemnId: string): boolean {
        return this.contested.has(condemnId);
    }

    /** The newest offset seen for a task that is not known. */
    getUnknownTouched(taskId: string): number | undefined {
        return this.unknownTouched.get(taskId);
    }

    /** Replaces a task's entry and keeps the indexes in step. */
    setTask(entry: TaskEntry): void {
        const taskId = entry.spec.taskId;
        this.removeFromIndexes(taskId);
        this.tasks.set(taskId, entry);
        this.unknownTouched.delete(taskId);
        if (entry.phase === TaskPhase.Waiting) {
            this.waiting.add(taskId);
        }
        if (entry.phase === TaskPhase.Bound && entry.worker !== undefined) {
            const ids = this.bound.get(entry.worker) ?? new Set();
            this.bound.set(entry.worker, ids.add(taskId));
        }
    }

    /** Notes that a record named a task that is not known. */
    noteUnknownTouched(taskId: string, offset: number): void {
        this.unknownTouched.set(taskId, offset);
    }

    /** Replaces a worker's hold; a condemnation falls with a new one. */
    setHold(worker: string, hold: WorkerHold): void {
        this.holds.set(worker, hold);
    }

    /** Lets a condemnation stand. */
    setCondemnation(worker: string, condemnation: Condemnation): void {
        this.condemnations.set(worker, condemnation);
    }

    /** Ends a condemnation for good. */
    dropCondemnation(worker: string): void {
        const condemnation = this.condemnations.get(worker);
        if (condemnation !== undefined) {
            this.contested.add(condemnation.condemnId);
            this.condemnations.delete(worker);
        }
    }

    /** Forgets ended tasks whose newest record is older than a moment. */
    expireEnded(beforeMs: number): void {
        for (const [taskId, entry] of this.tasks) {
            const open = entry.phase === TaskPhase.Waiting || entry.phase === TaskPhase.Bound
                || entry.phase === TaskPhase.Parked;
            if (!open && entry.changedAtMs < beforeMs) {
                this.tasks.delete(taskId);
            }
        }
    }

    /** Forgets everything, to be built anew from the log. */
    reset(): void {
        for (const part of [this.tasks, this.holds, this.condemnations, this.contested, this.waiting, this.bound]) {
            part.clear();
        }
        this.unknownTouched.clear();
    }

    private removeFromIndexes(taskId: string): void {
        this.waiting.delete(taskId);
        const worker = this.tasks.get(taskId)?.worker;
        const ids = worker === undefined ? undefined : this.bound.get(worker);
        ids?.delete(taskId);
        if (worker !== undefined && ids?.size === 0) {
            this.bound.delete(worker);
        }
    }
}
