import type { NewLogRecord } from "@sardinestage/call-platform";
import type { TaskEntry, TaskRecord } from "@sardinestage/fold-tasks";
import { TaskRecordKind } from "@sardinestage/fold-tasks";
import { resourceMath } from "@sardinestage/place-tasks";
import type { Resources, WorkerTask } from "@sardinestage/types";
import { RunState, TaskPhase, WorkKind } from "@sardinestage/types";
import { OrderKind } from "./orderKind.js";
import type { WorkerOrder } from "./workerOrder.js";
import type { WorkerPlan } from "./workerPlan.js";
import type { WorkerView } from "./workerView.js";

/**
 * Plans the next actions of the holder of a worker from the worker's report, the log, and this process's records that
 * are on their way to the log. Each plan is made from these without any memory of earlier plans, so that a lost answer,
 * a restart or a takeover needs no special case.
 *
 * @param view The worker's report, the state of the log, and the limits.
 * @returns Orders to the worker, records for the log, and ended attempts that the worker may forget.
 */
export function planWorkerOrders(view: WorkerView): WorkerPlan {
    const plan = new PlanBuilder(view);
    const reported = new Map(view.tasks.map(task => [task.taskId, task]));
    for (const task of view.tasks) {
        if (task.state === RunState.Running) {
            plan.handleRunning(task);
        }
        else {
            plan.handleEnded(task);
        }
    }
    const pending = view.bound.filter(entry => reported.get(entry.spec.taskId)?.state !== RunState.Running);
    for (const entry of pending.sort(compareStartOrder)) {
        plan.handleNotRunning(entry, reported.get(entry.spec.taskId));
    }
    return plan;
}

function compareStartOrder(a: TaskEntry, b: TaskEntry): number {
    const kindRank = (entry: TaskEntry) => entry.spec.kind === WorkKind.LatencyCritical ? 0 : 1;
    return kindRank(a) - kindRank(b) || b.spec.urgency - a.spec.urgency || a.lastOffset - b.lastOffset;
}

class PlanBuilder implements WorkerPlan {
    readonly orders: WorkerOrder[] = [];
    readonly records: NewLogRecord[] = [];
    readonly acknowledged: { taskId: string; attempt: number }[] = [];
    needsNewToken = false;
    /** Free capacity of the worker after the tasks that run and the starts planned so far. */
    private freeCapacity: Resources;

    constructor(private readonly view: WorkerView) {
        this.freeCapacity = view.capacity;
        for (const task of view.tasks) {
            if (task.state === RunState.Running) {
                this.freeCapacity = resourceMath.subtract(this.freeCapacity, this.estimateNeed(task));
            }
        }
    }

    handleRunning(task: WorkerTask): void {
        const { taskId, attempt } = task;
        const entry = this.view.findEntry(taskId);
        if (!this.isBoundHere(task, entry)) {
            // A task that is bound to another worker must not run here. Without a fresh read of the log this is
            // unknown.
            if (entry !== undefined && this.view.isLogFresh) {
                this.orders.push({ kind: OrderKind.Stop, taskId, attempt, reason: "not bound to this worker" });
            }
            return;
        }
        if (entry?.cancelRequested) {
            this.stopWhenIdle(task, OrderKind.Stop, entry.reason ?? "cancelled");
        }
        else if (this.view.isLeaving) {
            this.stopWhenIdle(task, OrderKind.Evict, "the worker leaves");
        }
        else {
            this.handleReaction(task);
        }
    }

    handleEnded(task: WorkerTask): void {
        const { taskId, attempt, generation } = task;
        const entry = this.view.findEntry(taskId);
        const settled = entry === undefined || !isOpen(entry) || entry.generation > generation
            || entry.phase === TaskPhase.Waiting && entry.lastAttempt >= attempt;
        if (settled) {
            this.acknowledgeEnded(taskId, attempt);
            return;
        }
        switch (task.state) {
            case RunState.Succeeded:
                this.finishTask(task, TaskPhase.Finished, "");
                break;
            case RunState.Failed:
                this.handleFailed(task, entry);
                break;
            default:
                // Stopped and expired attempts belong to bound tasks that do not run; handleNotRunning handles them.
                break;
        }
    }

    handleNotRunning(entry: TaskEntry, task: WorkerTask | undefined): void {
        const ended = task?.state;
        if (ended === RunState.Succeeded || ended === RunState.Failed) {
            return;
        }
        const lastAttempt = Math.max(entry.lastAttempt, task?.attempt ?? 0);
        const checkpoint = task?.checkpoint ?? entry.checkpoint;
        if (entry.cancelRequested) {
            this.finishTask(
                { ...entry.spec, generation: entry.generation, attempt: lastAttempt },
                TaskPhase.Cancelled,
                "",
            );
        }
        else if (this.view.isLeaving || ended === RunState.Stopped && this.view.isLogFresh) {
            const reason = this.view.isLeaving ? "the worker leaves" : "evicted";
            this.releaseTask(entry, lastAttempt, checkpoint, reason, false);
        }
        else {
            this.startTask(entry, lastAttempt + 1, checkpoint);
        }
    }

    private handleReaction(task: WorkerTask): void {
        const reaction = this.view.reactions.find(each => each.taskId === task.taskId);
        if (reaction === undefined) {
            return;
        }
        const { taskId, attempt } = task;
        if (reaction.throttle >= 1) {
            this.orders.push({ kind: OrderKind.Evict, taskId, attempt, reason: reaction.reason });
        }
        else if (reaction.throttle !== task.throttle) {
            const { throttle: share, reason } = reaction;
            this.orders.push({ kind: OrderKind.Throttle, taskId, attempt, share, reason });
        }
    }

    private handleFailed(task: WorkerTask, entry: TaskEntry): void {
        const failures = entry.failedOn.length + 1;
        if (failures >= this.view.maxFailures) {
            this.finishTask(task, TaskPhase.Failed, `Failed ${failures} times, last on ${this.view.worker}.`);
        }
        else {
            this.releaseTask(entry, task.attempt, task.checkpoint, "the attempt failed", true);
        }
    }

    private startTask(entry: TaskEntry, attempt: number, checkpoint: string | undefined): void {
        const { spec, generation } = entry;
        const need = this.estimateNeed(entry);
        if (this.view.isPending(this.describeRelease(entry))) {
            // Once the release is in the log another worker may start the task, under this same attempt number.
            return;
        }
        if (!resourceMath.fits(need, this.freeCapacity)) {
            if (this.view.isLogFresh && this.view.hasCapacityElsewhere(entry)) {
                this.releaseTask(entry, attempt - 1, checkpoint, "there is room elsewhere", false);
            }
        }
        else if (this.view.mayStart) {
            this.freeCapacity = resourceMath.subtract(this.freeCapacity, need);
            this.orders.push({ kind: OrderKind.Start, taskId: spec.taskId, generation, attempt, spec, checkpoint });
        }
    }

    private stopWhenIdle(task: WorkerTask, kind: OrderKind.Stop | OrderKind.Evict, reason: string): void {
        if (this.view.isIdle(task.taskId)) {
            this.orders.push({ kind, taskId: task.taskId, attempt: task.attempt, reason });
        }
    }

    private finishTask(
        task: { taskId: string; generation: number; attempt: number },
        phase: TaskPhase.Finished | TaskPhase.Failed | TaskPhase.Cancelled,
        reason: string,
    ): void {
        const { taskId, generation, attempt } = task;
        const { worker } = this.view;
        if (this.isStartOpen(taskId)) {
            this.requestNewToken();
            return;
        }
        this.addRecord(`finish:${taskId}:${generation}:${attempt}`, {
            kind: TaskRecordKind.Finish,
            taskId,
            generation,
            worker,
            attempt,
            phase,
            reason,
        });
    }

    private releaseTask(
        entry: TaskEntry,
        lastAttempt: number,
        checkpoint: string | undefined,
        reason: string,
        failed: boolean,
    ): void {
        const { worker, token } = this.view;
        const { generation, spec: { taskId } } = entry;
        if (this.isStartOpen(taskId)) {
            this.requestNewToken();
            return;
        }
        this.addRecord(this.describeRelease(entry), {
            kind: TaskRecordKind.Release,
            taskId,
            generation,
            worker,
            token,
            lastAttempt,
            checkpoint,
            reason,
            failed,
        });
    }

    private acknowledgeEnded(taskId: string, attempt: number): void {
        if (!this.view.isLogFresh) {
            return;
        }
        if (this.view.findOpenStart(taskId) === undefined) {
            this.acknowledged.push({ taskId, attempt });
        }
        else {
            // A repeated start that is carried out late has no effect only while the worker knows the attempt.
            this.requestNewToken();
        }
    }

    /**
     * Whether the worker may still carry out a start of a task under this token. It ignores starts of attempts that it
     * lists, and of earlier ones.
     */
    private isStartOpen(taskId: string): boolean {
        const openAttempt = this.view.findOpenStart(taskId);
        const listed = this.view.tasks.find(task => task.taskId === taskId);
        return openAttempt !== undefined && openAttempt > (listed?.attempt ?? 0);
    }

    private requestNewToken(): void {
        // While the log is out, the hold record of a new token couldn't be read back, and the worker would start
        // nothing.
        this.needsNewToken ||= this.view.isLogFresh;
    }

    /** The id of the record by which this holder releases a binding. */
    private describeRelease({ generation, spec: { taskId } }: TaskEntry): string {
        return `release:${taskId}:${generation}:${this.view.token}`;
    }

    private addRecord(id: string, data: TaskRecord): void {
        this.records.push({ id, data });
    }

    private isBoundHere(task: WorkerTask, entry: TaskEntry | undefined): boolean {
        return entry?.phase === TaskPhase.Bound && entry.worker === this.view.worker
            && entry.generation === task.generation;
    }

    private estimateNeed(task: { readonly spec: TaskEntry["spec"] }) {
        return resourceMath.max(task.spec.size, this.view.estimateSize(task.spec));
    }
}

function isOpen(entry: TaskEntry): boolean {
    return entry.phase === TaskPhase.Bound || entry.phase === TaskPhase.Waiting;
}
