import { describe, expect, it } from "@jest/globals";
import { TaskPhase, Urgency, WorkKind } from "@sardinestage/types";
import { applyTaskRecord } from "./applyTaskRecord.js";
import { TaskLedger } from "./taskLedger.js";
import type { TaskRecord } from "./taskRecord.js";
import { TaskRecordKind } from "./taskRecordKind.js";

const SPEC = {
    taskId: "t1",
    team: "plan",
    kind: WorkKind.Batch,
    urgency: Urgency.Normal,
    taskClass: "plan",
    size: { cpuMillis: 1000, memoryMb: 100, accelerators: 0, slots: 1 },
    expectedRunMs: 1000,
    payload: "",
};
const SUBMIT: TaskRecord = { kind: TaskRecordKind.Submit, spec: SPEC };

function createHold(worker: string, token: number): TaskRecord {
    return { kind: TaskRecordKind.Hold, worker, token, holder: `holder-${token}` };
}

function createBind(worker: string, generation: number, token: number): TaskRecord {
    return { kind: TaskRecordKind.Bind, taskId: "t1", generation, worker, token };
}

function createRelease(worker: string, generation: number, by: { token?: number; condemnId?: string }): TaskRecord {
    return {
        kind: TaskRecordKind.Release,
        taskId: "t1",
        generation,
        worker,
        lastAttempt: 1,
        reason: "",
        failed: false,
        ...by,
    };
}

function createFinish(worker: string, generation: number): TaskRecord {
    const phase = TaskPhase.Finished as const;
    return { kind: TaskRecordKind.Finish, taskId: "t1", generation, worker, attempt: 1, phase, reason: "" };
}

/** Applies records in order. Returns the resulting state, and for each record whether it took effect. */
function applyAll(records: readonly TaskRecord[]): { ledger: TaskLedger; effects: boolean[] } {
    const ledger = new TaskLedger();
    const effects = records.map((data, offset) =>
        applyTaskRecord(ledger, { offset, id: `r${offset}`, appendedAtMs: offset, data }) !== undefined
    );
    return { ledger, effects };
}

describe("applyTaskRecord", () => {
    describe("when two schedulers bind one task", () => {
        it("lets the first record of a generation win", () => {
            const { ledger, effects } = applyAll([
                SUBMIT,
                createHold("w1", 1),
                createHold("w2", 1),
                createBind("w2", 1, 1),
                createBind("w1", 1, 1),
            ]);
            expect(effects).toEqual([true, true, true, true, false]);
            expect(ledger.getTask("t1")?.worker).toBe("w2");
            expect([...ledger.listBound("w2")]).toEqual(["t1"]);
        });
    });

    describe("when another holder has acquired the lease", () => {
        it("ignores a delayed release by the earlier holder", () => {
            const { ledger, effects } = applyAll([
                SUBMIT,
                createHold("w1", 1),
                createBind("w1", 1, 1),
                createHold("w1", 2),
                createRelease("w1", 1, { token: 1 }),
            ]);
            expect(effects[4]).toBe(false);
            expect(ledger.getTask("t1")?.phase).toBe(TaskPhase.Bound);
        });
    });

    describe("when a worker is condemned", () => {
        const start = [SUBMIT, createHold("w1", 1), createBind("w1", 1, 1)];
        const condemn: TaskRecord = { kind: TaskRecordKind.Condemn, worker: "w1", by: "s2" };

        it("releases its tasks when no scheduler contests the condemnation", () => {
            const { ledger } = applyAll([...start, condemn, createRelease("w1", 1, { condemnId: "r3" })]);
            expect(ledger.getTask("t1")).toMatchObject({ phase: TaskPhase.Waiting, lastAttempt: 1 });
        });

        it("keeps its tasks bound when the holder contested the condemnation first", () => {
            const contest: TaskRecord = { kind: TaskRecordKind.Contest, worker: "w1", condemnId: "r3" };
            const { ledger } = applyAll([...start, condemn, contest, createRelease("w1", 1, { condemnId: "r3" })]);
            expect(ledger.getTask("t1")?.phase).toBe(TaskPhase.Bound);
        });

        it("keeps its tasks bound when another holder acquired the lease first", () => {
            const { ledger } = applyAll([
                ...start,
                condemn,
                createHold("w1", 2),
                createRelease("w1", 1, { condemnId: "r3" }),
            ]);
            expect(ledger.getTask("t1")?.phase).toBe(TaskPhase.Bound);
        });

        it("binds no new tasks to the worker", () => {
            const { effects } = applyAll([SUBMIT, createHold("w1", 1), condemn, createBind("w1", 1, 1)]);
            expect(effects[3]).toBe(false);
        });
    });

    describe("when a result arrives", () => {
        it("accepts the result once, also after a release without a new binding", () => {
            const { ledger, effects } = applyAll([
                SUBMIT,
                createHold("w1", 1),
                createBind("w1", 1, 1),
                createRelease("w1", 1, { token: 1 }),
                createFinish("w1", 1),
                createFinish("w1", 1),
            ]);
            expect(effects.slice(4)).toEqual([true, false]);
            expect(ledger.getTask("t1")?.phase).toBe(TaskPhase.Finished);
        });

        it("ignores the result after the task was bound again", () => {
            const { ledger } = applyAll([
                SUBMIT,
                createHold("w1", 1),
                createHold("w2", 1),
                createBind("w1", 1, 1),
                createRelease("w1", 1, { token: 1 }),
                createBind("w2", 2, 1),
                createFinish("w1", 1),
            ]);
            expect(ledger.getTask("t1")).toMatchObject({ phase: TaskPhase.Bound, worker: "w2" });
        });
    });

    describe("when retention dropped a task's first records", () => {
        const carry: TaskRecord = {
            kind: TaskRecordKind.Carry,
            spec: SPEC,
            phase: TaskPhase.Bound,
            generation: 1,
            worker: "w1",
            lastAttempt: 0,
            failedOn: [],
            cancelRequested: false,
            submittedAtMs: 0,
            asOf: 0,
        };

        it("restores the task from a carry record", () => {
            expect(applyAll([carry]).ledger.getTask("t1")).toMatchObject({ phase: TaskPhase.Bound, worker: "w1" });
        });

        it("refuses a carry record that is older than another record of the task", () => {
            const ledger = new TaskLedger();
            applyTaskRecord(ledger, {
                offset: 5,
                id: "a",
                appendedAtMs: 0,
                data: createRelease("w1", 1, { token: 1 }),
            });
            applyTaskRecord(ledger, { offset: 6, id: "b", appendedAtMs: 0, data: { ...carry, asOf: 4 } });
            expect(ledger.getTask("t1")).toBeUndefined();
        });
    });

    describe("when a task is cancelled", () => {
        it("ends a waiting task at once, and keeps a bound task bound until its stop is confirmed", () => {
            const cancel: TaskRecord = { kind: TaskRecordKind.Cancel, taskId: "t1", reason: "op" };
            expect(applyAll([SUBMIT, cancel]).ledger.getTask("t1")?.phase).toBe(TaskPhase.Cancelled);
            const { ledger } = applyAll([SUBMIT, createHold("w1", 1), createBind("w1", 1, 1), cancel]);
            expect(ledger.getTask("t1")).toMatchObject({ phase: TaskPhase.Bound, cancelRequested: true });
        });
    });
});
