import type { StepSpec } from "@sardinestage/describe-work";
import { IndexRanges } from "./indexRanges.js";
import type { Occurrence } from "./occurrence.js";
import { Task } from "./task.js";
import { TaskPhase } from "./taskPhase.js";

/**
 * A step in one occurrence of a job, with its tasks. A task is an object only while it is of use: a step may have far
 * more tasks than all workers can run, and those that haven't been considered yet, and those of a partitioned job that
 * are done, are only counted.
 */
export class StepRun {
    /** Numbers of the failed runs of a gang; a run of a gang fails as a whole. */
    readonly gangFailedRuns = new Set<number>();
    private readonly known = new Map<number, Task>();
    /** Active runs beside the tasks' own: copies, and runs that copies have outrun. */
    private readonly extraRuns = new Set<Task>();
    /** The known tasks that wait for a worker. */
    private readonly knownWaiting = new Set<Task>();
    /** Indexes of the done tasks that are only counted. */
    private readonly forgotten = new IndexRanges();
    /** All tasks with a lower index are known or forgotten. */
    private nextUnknown = 0;
    private doneTasks = 0;
    private waitingTasks: number;

    constructor(readonly occurrence: Occurrence, readonly number: number, readonly spec: StepSpec) {
        this.waitingTasks = spec.taskCount;
    }

    /** All tasks of the step, as objects. Only for steps that are short or whose tasks run together. */
    get tasks(): readonly Task[] {
        return Array.from({ length: this.spec.taskCount }, (_unused, index) => this.getTask(index));
    }

    /** Whether all tasks of the step are done. */
    get isDone(): boolean {
        return this.doneTasks === this.spec.taskCount;
    }

    /** Whether all steps that this step depends on are done. */
    get isReady(): boolean {
        return this.spec.dependsOn.every(earlier => this.occurrence.steps[earlier].isDone);
    }

    /** Whether any task of the step waits for a worker. */
    get isWaiting(): boolean {
        return this.waitingTasks > 0;
    }

    /** The number of tasks that wait for a worker. */
    get waitingCount(): number {
        return this.waitingTasks;
    }

    /** The number of waiting tasks that exist as objects. */
    get knownWaitingCount(): number {
        return this.knownWaiting.size;
    }

    /** Lists the tasks that exist as objects: among others all that are active, and all that have run in vain. */
    listKnown(): Iterable<Task> {
        return this.known.values();
    }

    /** Lists the tasks that exist as objects, from the index `from` on and below `to`. */
    listKnownBetween(from: number, to: number): readonly Task[] {
        const listed: Task[] = [];
        for (let index = from; index < Math.min(to, this.spec.taskCount); index++) {
            const task = this.known.get(index);
            if (task !== undefined) {
                listed.push(task);
            }
        }
        return listed;
    }

    /** Returns a task. The result for a forgotten task is a copy that says only that the task is done. */
    getTask(index: number): Task {
        const known = this.known.get(index);
        if (known !== undefined) {
            return known;
        }
        if (this.forgotten.has(index)) {
            return Task.createForgotten(this, index);
        }
        const task = new Task(this, index);
        this.known.set(index, task);
        this.knownWaiting.add(task);
        return task;
    }

    /**
     * Lists waiting tasks in the order of their indexes. Tasks that exist as objects are chosen before others.
     *
     * @param maxCount The most tasks to list.
     */
    listWaiting(maxCount: number): readonly Task[] {
        const listed: Task[] = [];
        for (const task of this.knownWaiting) {
            if (listed.length >= maxCount) {
                break;
            }
            listed.push(task);
        }
        const count = Math.min(maxCount, this.waitingTasks);
        while (listed.length < count) {
            listed.push(this.getTask(this.findUnknown()));
        }
        return listed.sort((left, right) => left.index - right.index);
    }

    /**
     * Collects the waiting tasks that `listWaiting` would list, without changing the step: a task that doesn't exist as
     * an object is represented by one that the step doesn't keep.
     *
     * @param maxCount The most tasks to collect.
     */
    collectWaiting(maxCount: number): readonly Task[] {
        const collected = [...this.knownWaiting].slice(0, maxCount);
        const count = Math.min(maxCount, this.waitingTasks);
        for (let index = this.nextUnknown; collected.length < count; index++) {
            index = this.forgotten.findMissingFrom(index);
            if (!this.known.has(index)) {
                collected.push(new Task(this, index));
            }
        }
        return collected.sort((left, right) => left.index - right.index);
    }

    /**
     * Forgets the waiting tasks that have never run; they are created again when they are listed. Counts as a change of
     * the job, since lists that have these tasks are out of date.
     */
    releaseUnused(): void {
        for (const task of this.knownWaiting) {
            if (task.isUnused) {
                this.known.delete(task.index);
                this.knownWaiting.delete(task);
                this.nextUnknown = Math.min(this.nextUnknown, task.index);
            }
        }
        this.occurrence.job.noteChanged();
    }

    /** The forgotten tasks, all done, from the index `from` on and below `to`, as bounds of ranges. */
    listForgotten(from: number, to: number): readonly number[] {
        const bounds: number[] = [];
        let index = from;
        while (index < to) {
            const end = Math.min(to, this.forgotten.findMissingFrom(index));
            if (end > index) {
                bounds.push(index, end);
            }
            index = Math.max(end, index) + 1;
        }
        return bounds;
    }

    /** Notes a failed run of a task, each run once, however often it is reported. */
    noteFailedRun(task: Task, run: number): void {
        task.failedRuns.add(run);
        this.noteRecordChanged(task.index);
        if (this.spec.gang && !this.gangFailedRuns.has(run)) {
            this.gangFailedRuns.add(run);
            this.noteRecordChanged(0);
        }
    }

    /** Notes that what is recorded of a task has changed. */
    noteRecordChanged(index: number): void {
        this.occurrence.job.changes.notePart(this, index);
    }

    /** Updates the counters for a task that has changed its phase, and notifies the job's watcher. */
    notePhase(task: Task, before: TaskPhase, after: TaskPhase): void {
        const { job } = this.occurrence;
        this.doneTasks += Number(after === TaskPhase.Done) - Number(before === TaskPhase.Done);
        this.waitingTasks += Number(after === TaskPhase.Waiting) - Number(before === TaskPhase.Waiting);
        job.noteActive(Number(isActivePhase(after)) - Number(isActivePhase(before)));
        if (after === TaskPhase.Waiting) {
            this.knownWaiting.add(task);
        }
        else {
            this.knownWaiting.delete(task);
        }
        if (isActivePhase(before) !== isActivePhase(after) || after === TaskPhase.Done) {
            this.noteRecordChanged(task.index);
        }
        if (after === TaskPhase.Done && job.isPartitioned) {
            this.known.delete(task.index);
            this.forgotten.add(task.index);
        }
        job.noteChanged();
    }

    /** Lists the active runs beside the tasks' own: copies, and runs that copies have outrun. They count on their workers. */
    listExtraRuns(): Iterable<Task> {
        return this.extraRuns;
    }

    /** Updates the active runs for a copy that has changed its phase; a copy that isn't active any more is dropped. */
    noteCopyPhase(copy: Task, before: TaskPhase, after: TaskPhase): void {
        const { job } = this.occurrence;
        job.noteActive(Number(isActivePhase(after)) - Number(isActivePhase(before)));
        if (isActivePhase(before) !== isActivePhase(after)) {
            this.noteRecordChanged(copy.index);
        }
        if (isActivePhase(after)) {
            this.extraRuns.add(copy);
        }
        else {
            this.extraRuns.delete(copy);
        }
        if (!isActivePhase(after) && copy.original?.copy === copy) {
            copy.original.copy = undefined;
        }
        job.noteChanged();
    }

    private findUnknown(): number {
        while (this.known.has(this.nextUnknown) || this.forgotten.has(this.nextUnknown)) {
            this.nextUnknown = this.forgotten.findMissingFrom(this.nextUnknown + 1);
        }
        return this.nextUnknown;
    }
}

function isActivePhase(phase: TaskPhase): boolean {
    return phase === TaskPhase.Ordered || phase === TaskPhase.Running || phase === TaskPhase.Stopping;
}
