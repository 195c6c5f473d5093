import { describe, expect, it } from "@jest/globals";
import type { TaskEntry } from "@sardinestage/fold-tasks";
import { TaskRecordKind } from "@sardinestage/fold-tasks";
import type { WorkerTask } from "@sardinestage/types";
import { RunState, TaskPhase, Urgency, WorkKind } from "@sardinestage/types";
import { OrderKind } from "./orderKind.js";
import { planWorkerOrders } from "./planWorkerOrders.js";
import type { WorkerView } from "./workerView.js";

const SPEC = {
    taskId: "t",
    team: "p",
    kind: WorkKind.Batch,
    urgency: Urgency.Normal,
    taskClass: "c",
    size: { cpuMillis: 1000, memoryMb: 10, accelerators: 0, slots: 1 },
    expectedRunMs: 1,
    payload: "",
};

function createEntry(changes: Partial<TaskEntry> = {}): TaskEntry {
    return {
        spec: SPEC,
        phase: TaskPhase.Bound,
        generation: 1,
        worker: "w",
        lastAttempt: 0,
        failedOn: [],
        cancelRequested: false,
        submittedAtMs: 0,
        changedAtMs: 0,
        lastOffset: 0,
        ...changes,
    };
}

function createTask(state: RunState, changes: Partial<WorkerTask> = {}): WorkerTask {
    return { taskId: "t", generation: 1, attempt: 1, state, spec: SPEC, progress: 0, throttle: 0, ...changes };
}

function createView(
    entry: TaskEntry | undefined,
    task: WorkerTask | undefined,
    changes: Partial<WorkerView> = {},
): WorkerView {
    return {
        worker: "w",
        token: 7,
        capacity: { cpuMillis: 1000, memoryMb: 10, accelerators: 0, slots: 1 },
        tasks: task === undefined ? [] : [task],
        bound: entry?.phase === TaskPhase.Bound && entry.worker === "w" ? [entry] : [],
        findEntry: () => entry,
        mayStart: true,
        isPending: () => false,
        findOpenStart: () => undefined,
        isLogFresh: true,
        isLeaving: false,
        isIdle: () => true,
        hasCapacityElsewhere: () => false,
        maxFailures: 3,
        estimateSize: spec => spec.size,
        reactions: [],
        ...changes,
    };
}

describe("planWorkerOrders", () => {
    describe("when a bound task doesn't run", () => {
        it("starts its first attempt", () => {
            const { orders } = planWorkerOrders(createView(createEntry(), undefined));
            expect(orders).toMatchObject([{ kind: OrderKind.Start, attempt: 1 }]);
        });

        it("starts nothing without authority", () => {
            expect(planWorkerOrders(createView(createEntry(), undefined, { mayStart: false })).orders).toEqual([]);
        });

        it("starts nothing that doesn't fit", () => {
            const estimateSize = () => ({ ...SPEC.size, cpuMillis: 1001 });
            expect(planWorkerOrders(createView(createEntry(), undefined, { estimateSize })).orders).toEqual([]);
        });

        it("releases a task that doesn't fit when another worker has free capacity", () => {
            const changes = {
                estimateSize: () => ({ ...SPEC.size, cpuMillis: 1001 }),
                hasCapacityElsewhere: () => true,
            };
            const { records } = planWorkerOrders(createView(createEntry(), undefined, changes));
            expect(records[0].data).toMatchObject({ kind: TaskRecordKind.Release, lastAttempt: 0 });
        });

        it("resumes an expired attempt from its checkpoint under the next attempt number", () => {
            const expired = createTask(RunState.Lapsed, { attempt: 4, checkpoint: "0.5" });
            const { orders } = planWorkerOrders(createView(createEntry(), expired));
            expect(orders).toMatchObject([{ kind: OrderKind.Start, attempt: 5, checkpoint: "0.5" }]);
        });

        it("releases an evicted task, or resumes it here while the log is unavailable", () => {
            const stopped = createTask(RunState.Stopped, { checkpoint: "0.5" });
            const { records } = planWorkerOrders(createView(createEntry(), stopped));
            expect(records[0].data).toMatchObject({ kind: TaskRecordKind.Release, lastAttempt: 1, checkpoint: "0.5" });
            const { orders } = planWorkerOrders(createView(createEntry(), stopped, { isLogFresh: false }));
            expect(orders).toMatchObject([{ kind: OrderKind.Start, attempt: 2 }]);
        });
    });

    describe("when a bound task's release is appended and not read back", () => {
        const isPending = (recordId: string) => recordId === "release:t:1:7";

        it("doesn't start the task, whose next attempt another worker may start under the same number", () => {
            expect(planWorkerOrders(createView(createEntry(), undefined, { isPending })).orders).toEqual([]);
            const stopped = createTask(RunState.Stopped, { checkpoint: "0.5" });
            const view = createView(createEntry(), stopped, { isPending, isLogFresh: false });
            expect(planWorkerOrders(view).orders).toEqual([]);
        });

        it("starts a task that is bound again, and one whose release belongs to an earlier lease", () => {
            const boundAgain = createView(createEntry({ generation: 2 }), undefined, { isPending });
            expect(planWorkerOrders(boundAgain).orders).toMatchObject([{ kind: OrderKind.Start, attempt: 1 }]);
            const newLease = createView(createEntry(), undefined, { isPending, token: 8 });
            expect(planWorkerOrders(newLease).orders).toMatchObject([{ kind: OrderKind.Start, attempt: 1 }]);
        });
    });

    describe("when a start got no answer and may still be carried out", () => {
        const findOpenStart = () => 1;

        it("asks for a new token in place of a release, and releases once the start is refused", () => {
            const waiting = planWorkerOrders(createView(createEntry(), undefined, { isLeaving: true, findOpenStart }));
            expect(waiting.records).toEqual([]);
            expect(waiting.needsNewToken).toBe(true);
            const refused = planWorkerOrders(createView(createEntry(), undefined, { isLeaving: true, token: 8 }));
            expect(refused.records[0].data).toMatchObject({ kind: TaskRecordKind.Release, token: 8 });
            expect(refused.needsNewToken).toBe(false);
        });

        it("asks for one in place of recording a cancellation", () => {
            const cancelled = createEntry({ cancelRequested: true });
            const plan = planWorkerOrders(createView(cancelled, undefined, { findOpenStart }));
            expect(plan.records).toEqual([]);
            expect(plan.needsNewToken).toBe(true);
        });

        it("asks for none while the log is out, since the worker would start nothing until its hold is read back", () => {
            const changes = { isLeaving: true, isLogFresh: false, findOpenStart };
            const plan = planWorkerOrders(createView(createEntry(), undefined, changes));
            expect(plan.records).toEqual([]);
            expect(plan.needsNewToken).toBe(false);
        });

        it("repeats the start, and needs no new token for that", () => {
            const plan = planWorkerOrders(createView(createEntry(), undefined, { findOpenStart }));
            expect(plan.orders).toMatchObject([{ kind: OrderKind.Start, attempt: 1 }]);
            expect(plan.needsNewToken).toBe(false);
        });

        it("compares it with the attempt that the worker lists, not with the last one in the log", () => {
            const entry = createEntry({ lastAttempt: 1_000 });
            const plan = planWorkerOrders(createView(entry, undefined, { isLeaving: true, findOpenStart }));
            expect(plan.records).toEqual([]);
        });

        it("records the result and the release of an attempt that the worker lists at once", () => {
            const done = planWorkerOrders(createView(createEntry(), createTask(RunState.Succeeded), { findOpenStart }));
            expect(done.records[0].data).toMatchObject({ kind: TaskRecordKind.Finish });
            const stopped = planWorkerOrders(
                createView(createEntry(), createTask(RunState.Stopped), { findOpenStart }),
            );
            expect(stopped.records[0].data).toMatchObject({ kind: TaskRecordKind.Release });
            expect([done, stopped].some(plan => plan.needsNewToken)).toBe(false);
        });

        it("lets the worker forget the attempt only under a new token", () => {
            const ended = createEntry({ phase: TaskPhase.Finished, worker: undefined });
            const plan = planWorkerOrders(createView(ended, createTask(RunState.Succeeded), { findOpenStart }));
            expect(plan.acknowledged).toEqual([]);
            expect(plan.needsNewToken).toBe(true);
        });
    });

    describe("when a task runs that is bound to another worker", () => {
        const boundToOther = createEntry({ worker: "other", generation: 2 });

        it("stops it", () => {
            const { orders } = planWorkerOrders(createView(boundToOther, createTask(RunState.Running)));
            expect(orders).toMatchObject([{ kind: OrderKind.Stop }]);
        });

        it("leaves it running while the local copy of the log may be out of date", () => {
            const view = createView(boundToOther, createTask(RunState.Running), { isLogFresh: false });
            expect(planWorkerOrders(view).orders).toEqual([]);
        });
    });

    describe("when an attempt has ended", () => {
        it("records its result, and lets the worker forget it only once the result is in the log", () => {
            const done = createTask(RunState.Succeeded);
            const before = planWorkerOrders(createView(createEntry(), done));
            expect(before.records[0].data).toMatchObject({ kind: TaskRecordKind.Finish, phase: TaskPhase.Finished });
            expect(before.acknowledged).toEqual([]);
            const after = planWorkerOrders(
                createView(createEntry({ phase: TaskPhase.Finished, worker: undefined }), done),
            );
            expect(after.acknowledged).toEqual([{ taskId: "t", attempt: 1 }]);
        });

        it("releases a failed task for another attempt until it has failed too often", () => {
            const failed = createTask(RunState.Failed);
            const first = planWorkerOrders(createView(createEntry(), failed));
            expect(first.records[0].data).toMatchObject({ kind: TaskRecordKind.Release, failed: true });
            const last = planWorkerOrders(createView(createEntry({ failedOn: ["a", "b"] }), failed));
            expect(last.records[0].data).toMatchObject({ kind: TaskRecordKind.Finish, phase: TaskPhase.Failed });
        });
    });

    describe("when a task is cancelled", () => {
        const cancelled = createEntry({ cancelRequested: true });

        it("stops it first and records the cancellation only once it doesn't run", () => {
            const running = planWorkerOrders(createView(cancelled, createTask(RunState.Running)));
            expect(running.orders).toMatchObject([{ kind: OrderKind.Stop }]);
            expect(running.records).toEqual([]);
            const stopped = planWorkerOrders(createView(cancelled, createTask(RunState.Stopped)));
            expect(stopped.records[0].data).toMatchObject({ phase: TaskPhase.Cancelled });
        });

        it("waits until no request is open at a replica", () => {
            const view = createView(cancelled, createTask(RunState.Running), { isIdle: () => false });
            expect(planWorkerOrders(view).orders).toEqual([]);
        });
    });

    describe("when the worker leaves", () => {
        it("evicts running tasks and releases the others", () => {
            const running = planWorkerOrders(
                createView(createEntry(), createTask(RunState.Running), { isLeaving: true }),
            );
            expect(running.orders).toMatchObject([{ kind: OrderKind.Evict }]);
            const idle = planWorkerOrders(createView(createEntry(), undefined, { isLeaving: true }));
            expect(idle.records[0].data).toMatchObject({ kind: TaskRecordKind.Release });
        });
    });
});
