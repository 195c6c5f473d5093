import type { LogRecord } from "@sardinestage/call-platform";
import { TaskPhase } from "@sardinestage/types";
import type { TaskEntry } from "./taskEntry.js";
import type { TaskLedger } from "./taskLedger.js";
import type { TaskRecord } from "./taskRecord.js";
import { TaskRecordKind } from "./taskRecordKind.js";
import { taskRecordSchema } from "./taskRecordSchema.js";

type RecordOf<Kind extends TaskRecordKind> = Extract<TaskRecord, { kind: Kind }>;

/** Position of a record in the log, and when it was appended. */
interface Position {
    readonly offset: number;
    readonly id: string;
    readonly atMs: number;
}

/**
 * Applies the next record of a task stream. Every process applies the same rules to the same records in the same
 * order. A record that lost a race is therefore void in every process, and so is the second copy of a record.
 *
 * @param ledger The state to change.
 * @param logRecord The record with its offset.
 * @returns The record when it took effect, or `undefined` when it is void or malformed.
 */
export function applyTaskRecord(ledger: TaskLedger, logRecord: LogRecord): TaskRecord | undefined {
    const parsed = taskRecordSchema.safeParse(logRecord.data);
    if (!parsed.success) {
        return undefined;
    }
    const at = { offset: logRecord.offset, id: logRecord.id, atMs: logRecord.appendedAtMs };
    return applyParsedRecord(ledger, parsed.data, at) ? parsed.data : undefined;
}

function applyParsedRecord(ledger: TaskLedger, record: TaskRecord, at: Position): boolean {
    switch (record.kind) {
        case TaskRecordKind.Submit:
            return applySubmit(ledger, record, at);
        case TaskRecordKind.Hold:
            return applyHold(ledger, record, at);
        case TaskRecordKind.Condemn:
            return applyCondemn(ledger, record, at);
        case TaskRecordKind.Contest:
            return applyContest(ledger, record);
        case TaskRecordKind.Carry:
            return applyCarry(ledger, record, at);
        case TaskRecordKind.Event:
            return true;
        default:
            return applyToKnownTask(ledger, record, at);
    }
}

function applySubmit(ledger: TaskLedger, record: RecordOf<TaskRecordKind.Submit>, at: Position): boolean {
    if (ledger.getTask(record.spec.taskId) !== undefined) {
        return false;
    }
    ledger.setTask({
        spec: record.spec,
        phase: TaskPhase.Waiting,
        generation: 0,
        lastAttempt: 0,
        failedOn: [],
        cancelRequested: false,
        submittedAtMs: at.atMs,
        changedAtMs: at.atMs,
        lastOffset: at.offset,
    });
    return true;
}

function applyHold(ledger: TaskLedger, record: RecordOf<TaskRecordKind.Hold>, at: Position): boolean {
    const known = ledger.getHold(record.worker);
    if (known !== undefined && record.token < known.token) {
        return false;
    }
    ledger.setHold(record.worker, { token: record.token, holder: record.holder, changedAtMs: at.atMs });
    if (record.token !== known?.token) {
        ledger.dropCondemnation(record.worker);
    }
    return true;
}

function applyCondemn(ledger: TaskLedger, record: RecordOf<TaskRecordKind.Condemn>, at: Position): boolean {
    if (ledger.getCondemnation(record.worker) !== undefined || ledger.isCondemnationEnded(at.id)) {
        return false;
    }
    ledger.setCondemnation(record.worker, { condemnId: at.id, by: record.by });
    return true;
}

function applyContest(ledger: TaskLedger, record: RecordOf<TaskRecordKind.Contest>): boolean {
    if (ledger.getCondemnation(record.worker)?.condemnId !== record.condemnId) {
        return false;
    }
    ledger.dropCondemnation(record.worker);
    return true;
}

function applyCarry(ledger: TaskLedger, record: RecordOf<TaskRecordKind.Carry>, at: Position): boolean {
    const { taskId } = record.spec;
    const known = ledger.getTask(taskId);
    const newestOffset = known?.lastOffset ?? ledger.getUnknownTaskOffset(taskId) ?? 0;
    if (record.asOf < newestOffset) {
        return false;
    }
    const { kind: _kind, asOf: _asOf, ...carried } = record;
    ledger.setTask({
        ...(known ?? carried),
        changedAtMs: at.atMs,
        lastOffset: at.offset,
    });
    return true;
}

type KnownTaskRecord = Exclude<
    TaskRecord,
    RecordOf<
        | TaskRecordKind.Submit
        | TaskRecordKind.Hold
        | TaskRecordKind.Condemn
        | TaskRecordKind.Contest
        | TaskRecordKind.Carry
        | TaskRecordKind.Event
    >
>;

function applyToKnownTask(ledger: TaskLedger, record: KnownTaskRecord, at: Position): boolean {
    const entry = ledger.getTask(record.taskId);
    if (entry === undefined) {
        ledger.noteUnknownTaskOffset(record.taskId, at.offset);
        return false;
    }
    const changed = computeChange(ledger, entry, record);
    if (changed === undefined) {
        return false;
    }
    ledger.setTask({ ...entry, ...changed, changedAtMs: at.atMs, lastOffset: at.offset });
    return true;
}

function computeChange(ledger: TaskLedger, entry: TaskEntry, record: KnownTaskRecord): Partial<TaskEntry> | undefined {
    switch (record.kind) {
        case TaskRecordKind.Cancel:
            return computeCancel(entry, record);
        case TaskRecordKind.Bind:
            return computeBind(ledger, entry, record);
        case TaskRecordKind.Release:
            return computeRelease(ledger, entry, record);
        case TaskRecordKind.Finish:
            return computeFinish(entry, record);
        case TaskRecordKind.Park:
            return entry.phase === TaskPhase.Waiting ? { phase: TaskPhase.Parked, reason: record.reason } : undefined;
        case TaskRecordKind.Unpark:
            return entry.phase === TaskPhase.Parked ? { phase: TaskPhase.Waiting, reason: undefined } : undefined;
    }
}

function computeCancel(entry: TaskEntry, record: RecordOf<TaskRecordKind.Cancel>): Partial<TaskEntry> | undefined {
    switch (entry.phase) {
        case TaskPhase.Waiting:
        case TaskPhase.Parked:
            return { phase: TaskPhase.Cancelled, cancelRequested: true, reason: record.reason };
        case TaskPhase.Bound:
            return entry.cancelRequested ? undefined : { cancelRequested: true, reason: record.reason };
        default:
            return undefined;
    }
}

function computeBind(
    ledger: TaskLedger,
    entry: TaskEntry,
    record: RecordOf<TaskRecordKind.Bind>,
): Partial<TaskEntry> | undefined {
    const allowed = entry.phase === TaskPhase.Waiting
        && record.generation === entry.generation + 1
        && ledger.getHold(record.worker)?.token === record.token
        && ledger.getCondemnation(record.worker) === undefined;
    return allowed ? { phase: TaskPhase.Bound, generation: record.generation, worker: record.worker } : undefined;
}

function computeRelease(
    ledger: TaskLedger,
    entry: TaskEntry,
    record: RecordOf<TaskRecordKind.Release>,
): Partial<TaskEntry> | undefined {
    const current = entry.phase === TaskPhase.Bound
        && entry.generation === record.generation
        && entry.worker === record.worker;
    const allowed = record.condemnId === undefined
        ? record.token !== undefined && ledger.getHold(record.worker)?.token === record.token
        : ledger.getCondemnation(record.worker)?.condemnId === record.condemnId;
    if (!current || !allowed) {
        return undefined;
    }
    return {
        phase: entry.cancelRequested ? TaskPhase.Cancelled : TaskPhase.Waiting,
        worker: undefined,
        lastAttempt: Math.max(entry.lastAttempt, record.lastAttempt),
        checkpoint: record.checkpoint ?? entry.checkpoint,
        failedOn: record.failed ? [...entry.failedOn, record.worker] : entry.failedOn,
    };
}

function computeFinish(entry: TaskEntry, record: RecordOf<TaskRecordKind.Finish>): Partial<TaskEntry> | undefined {
    // A task that was released but not bound again can still accept the result of its last attempt.
    const open = entry.phase === TaskPhase.Bound || entry.phase === TaskPhase.Waiting;
    if (!open || entry.generation !== record.generation) {
        return undefined;
    }
    return {
        phase: record.phase,
        worker: undefined,
        lastAttempt: Math.max(entry.lastAttempt, record.attempt),
        reason: record.reason === "" ? entry.reason : record.reason,
    };
}
