import { TaskPhase } from "@sardinestage/types";
import type { Condemnation } from "./condemnation.js";
import type { TaskEntry } from "./taskEntry.js";
import type { WorkerHold } from "./workerHold.js";

/**
 * The tasks, lease holders and condemnations of one failure domain according to the log. Only `applyTaskRecord` applies
 * records to it.
 */
export class TaskLedger {
    private readonly tasks = new Map<string, TaskEntry>();
    private readonly holds = new Map<string, WorkerHold>();
    private readonly condemnations = new Map<string, Condemnation>();
    private readonly endedCondemnationIds = new Set<string>();
    private readonly waiting = new Set<string>();
    private readonly bound = new Map<string, Set<string>>();
    /** Offset of the newest record of each unknown task. A carry record that does not cover this offset is refused. */
    private readonly unknownTaskOffsets = new Map<string, number>();

    /** The state of a task, or `undefined` when the task is unknown. */
    getTask(taskId: string): TaskEntry | undefined {
        return this.tasks.get(taskId);
    }

    /** All known tasks. */
    listTasks(): IterableIterator<TaskEntry> {
        return this.tasks.values();
    }

    /** Ids of the waiting tasks, in the order in which they began to wait. */
    listWaiting(): ReadonlySet<string> {
        return this.waiting;
    }

    /** Ids of the tasks that are bound to a worker. */
    listBound(worker: string): ReadonlySet<string> {
        return this.bound.get(worker) ?? new Set();
    }

    /** Workers that have at least one bound task. */
    listBoundWorkers(): readonly string[] {
        return [...this.bound.keys()];
    }

    /** The recorded holder of a worker's lease. */
    getHold(worker: string): WorkerHold | undefined {
        return this.holds.get(worker);
    }

    /** The condemnation of a worker that is in force. */
    getCondemnation(worker: string): Condemnation | undefined {
        return this.condemnations.get(worker);
    }

    /** Whether a condemnation has ended, because it was contested or another holder acquired the worker's lease. */
    isCondemnationEnded(condemnId: string): boolean {
        return this.endedCondemnationIds.has(condemnId);
    }

    /** Offset of the newest record of an unknown task. */
    getUnknownTaskOffset(taskId: string): number | undefined {
        return this.unknownTaskOffsets.get(taskId);
    }

    /** Replaces a task's state and updates the indexes. */
    setTask(entry: TaskEntry): void {
        const taskId = entry.spec.taskId;
        this.removeFromIndexes(taskId);
        this.tasks.set(taskId, entry);
        this.unknownTaskOffsets.delete(taskId);
        if (entry.phase === TaskPhase.Waiting) {
            this.waiting.add(taskId);
        }
        if (entry.phase === TaskPhase.Bound && entry.worker !== undefined) {
            const ids = this.bound.get(entry.worker) ?? new Set();
            this.bound.set(entry.worker, ids.add(taskId));
        }
    }

    /** Notes the offset of a record that names an unknown task. */
    noteUnknownTaskOffset(taskId: string, offset: number): void {
        this.unknownTaskOffsets.set(taskId, offset);
    }

    /** Replaces the recorded holder of a worker's lease. The caller ends a condemnation when the token is new. */
    setHold(worker: string, hold: WorkerHold): void {
        this.holds.set(worker, hold);
    }

    /** Puts a condemnation of a worker in force. */
    setCondemnation(worker: string, condemnation: Condemnation): void {
        this.condemnations.set(worker, condemnation);
    }

    /** Ends the condemnation of a worker. A late copy of its record can't put it in force again. */
    dropCondemnation(worker: string): void {
        const condemnation = this.condemnations.get(worker);
        if (condemnation !== undefined) {
            this.endedCondemnationIds.add(condemnation.condemnId);
            this.condemnations.delete(worker);
        }
    }

    /** Removes ended tasks whose newest record was appended before `beforeMs`. */
    expireEnded(beforeMs: number): void {
        for (const [taskId, entry] of this.tasks) {
            const open = entry.phase === TaskPhase.Waiting || entry.phase === TaskPhase.Bound
                || entry.phase === TaskPhase.Parked;
            if (!open && entry.changedAtMs < beforeMs) {
                this.tasks.delete(taskId);
            }
        }
    }

    /** Removes everything, so that the state can be rebuilt from the log. */
    reset(): void {
        for (
            const part of [
                this.tasks,
                this.holds,
                this.condemnations,
                this.endedCondemnationIds,
                this.waiting,
                this.bound,
            ]
        ) {
            part.clear();
        }
        this.unknownTaskOffsets.clear();
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
