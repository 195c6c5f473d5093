import type { StepSpec } from "@sardinestage/describe-work";
import type { FailureEvidence } from "./failureEvidence.js";
import { IndexRanges } from "./indexRanges.js";
import type { Occurrence } from "./occurrence.js";
import { Task } from "./task.js";
import { TaskPhase } from "./taskPhase.js";

/** Stands for the collections of a step of which nothing is known, so that such a step takes little memory. */
const NO_TASKS: ReadonlyMap<number, Task> = new Map();
const NO_RUNS: ReadonlySet<Task> = new Set();
const NO_NUMBERS: ReadonlySet<number> = new Set();
const NO_INDEXES = new IndexRanges();

/**
 * A step in one occurrence of a job, with its tasks. A task is an object only while it is of use: a step may have far
 * more tasks than all workers can run, and those that haven't been considered yet, and those of a partitioned job that
 * are done, are only counted.
 */
export class StepRun {
    /** The step's failed runs since the last that succeeded; undefined if there are none, or an earlier term had them. */
    failureEvidence: FailureEvidence | undefined;
    private gangFailures: Set<number> | undefined;
    private knownTasks: Map<number, Task> | undefined;
    /** Active runs beside the tasks' own: copies, and runs that copies have outrun. */
    private extraRuns: Set<Task> | undefined;
    /** The known tasks that wait for a worker. */
    private waitingKnown: Set<Task> | undefined;
    /** Indexes of the done tasks that are only counted. */
    private forgottenTasks: IndexRanges | undefined;
    /** All tasks with a lower index are known or forgotten. */
    private nextUnknown = 0;
    private doneTasks = 0;
    private waitingTasks: number;

    constructor(readonly occurrence: Occurrence, readonly number: number, readonly spec: StepSpec) {
        this.waitingTasks = spec.taskCount;
    }

    /** Creates a step that stands for a done one of which the occurrence keeps no object. */
    static createForgotten(occurrence: Occurrence, number: number): StepRun {
        const step = new StepRun(occurrence, number, occurrence.job.spec.steps[number]);
        step.forgottenTasks = new IndexRanges([0, step.spec.taskCount]);
        step.doneTasks = step.spec.taskCount;
        step.waitingTasks = 0;
        return step;
    }

    /** Numbers of the failed runs of a gang; a run of a gang fails as a whole. */
    get gangFailedRuns(): ReadonlySet<number> {
        return this.gangFailures ?? NO_NUMBERS;
    }

    /** Adds a failed run of a gang, as it was recorded. */
    addGangFailedRun(run: number): void {
        this.gangFailures ??= new Set();
        this.gangFailures.add(run);
    }

    private get known(): ReadonlyMap<number, Task> {
        return this.knownTasks ?? NO_TASKS;
    }

    private get knownWaiting(): ReadonlySet<Task> {
        return this.waitingKnown ?? NO_RUNS;
    }

    private get forgotten(): Pick<IndexRanges, "has" | "findMissingFrom"> {
        return this.forgottenTasks ?? NO_INDEXES;
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
        return this.occurrence.isStepReady(this.number);
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
        this.knownTasks ??= new Map();
        this.knownTasks.set(index, task);
        this.addWaiting(task);
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
                this.knownTasks?.delete(task.index);
                this.waitingKnown?.delete(task);
                this.nextUnknown = Math.min(this.nextUnknown, task.index);
            }
        }
        this.knownTasks = this.known.size === 0 ? undefined : this.knownTasks;
        this.waitingKnown = this.knownWaiting.size === 0 ? undefined : this.waitingKnown;
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
        task.addFailedRun(run);
        this.noteRecordChanged(task.index);
        if (this.spec.gang && !this.gangFailedRuns.has(run)) {
            this.addGangFailedRun(run);
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
        const wasDone = this.isDone;
        this.doneTasks += Number(after === TaskPhase.Done) - Number(before === TaskPhase.Done);
        this.waitingTasks += Number(after === TaskPhase.Waiting) - Number(before === TaskPhase.Waiting);
        job.noteActive(Number(isActivePhase(after)) - Number(isActivePhase(before)));
        this.occurrence.noteStepDone(Number(this.isDone) - Number(wasDone));
        if (after === TaskPhase.Waiting) {
            this.addWaiting(task);
        }
        else {
            this.waitingKnown?.delete(task);
        }
        if (isActivePhase(before) !== isActivePhase(after) || after === TaskPhase.Done) {
            this.noteRecordChanged(task.index);
        }
        if (after === TaskPhase.Done && job.isPartitioned) {
            this.knownTasks?.delete(task.index);
            this.forgottenTasks ??= new IndexRanges();
            this.forgottenTasks.add(task.index);
            this.dropIfUnneeded();
        }
        job.noteChanged();
    }

    /** Lists the active runs beside the tasks' own: copies, and runs that copies have outrun. They count on their workers. */
    listExtraRuns(): Iterable<Task> {
        return this.extraRuns ?? NO_RUNS;
    }

    /** Updates the active runs for a copy that has changed its phase; a copy that isn't active any more is dropped. */
    noteCopyPhase(copy: Task, before: TaskPhase, after: TaskPhase): void {
        const { job } = this.occurrence;
        job.noteActive(Number(isActivePhase(after)) - Number(isActivePhase(before)));
        if (isActivePhase(before) !== isActivePhase(after)) {
            this.noteRecordChanged(copy.index);
        }
        if (isActivePhase(after)) {
            this.extraRuns ??= new Set();
            this.extraRuns.add(copy);
        }
        else {
            this.extraRuns?.delete(copy);
        }
        if (!isActivePhase(after) && copy.original?.copy === copy) {
            copy.original.copy = undefined;
        }
        this.dropIfUnneeded();
        job.noteChanged();
    }

    /** Has the occurrence forget the step, if it is done, its tasks are only counted and no copy is active. */
    private dropIfUnneeded(): void {
        if (this.isDone && this.known.size === 0 && (this.extraRuns?.size ?? 0) === 0) {
            this.occurrence.dropStep(this.number);
        }
    }

    private addWaiting(task: Task): void {
        this.waitingKnown ??= new Set();
        this.waitingKnown.add(task);
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
