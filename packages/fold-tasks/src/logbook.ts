import { TaskPhase } from "@sardinestage/types";
import type { LogbookEntry } from "./logbookEntry.js";
import { LogbookEvent } from "./logbookEvent.js";
import type { TaskLedger } from "./taskLedger.js";
import type { TaskRecord } from "./taskRecord.js";
import { TaskRecordKind } from "./taskRecordKind.js";

/** Filter for entries of the logbook. An absent field matches every entry. */
interface LogbookQuery {
    readonly taskId?: string;
    readonly worker?: string;
    readonly fromMs?: number;
    readonly toMs?: number;
    readonly limit: number;
}

/** History of task events: what ran where and when, and why it was stopped. Keeps a bounded number of the newest. */
export class Logbook {
    private entries: LogbookEntry[] = [];

    constructor(private readonly maxEntries: number) {}

    /** Adds the event of a record that took effect. */
    recordEffect(ledger: TaskLedger, record: TaskRecord, offset: number, atMs: number): void {
        const line = describeRecord(ledger, record);
        if (line !== undefined) {
            this.entries.push({ offset, atMs, ...line });
        }
        if (this.entries.length > this.maxEntries * 2) {
            this.entries = this.entries.slice(-this.maxEntries);
        }
    }

    /** Lists the newest matching entries, oldest first. */
    listEntries(query: LogbookQuery): readonly LogbookEntry[] {
        return this.entries.filter(entry =>
            (query.taskId === undefined || entry.taskId === query.taskId)
            && (query.worker === undefined || entry.worker === query.worker)
            && entry.atMs >= (query.fromMs ?? 0)
            && entry.atMs <= (query.toMs ?? Number.MAX_SAFE_INTEGER)
        ).slice(-query.limit);
    }
}

type LogbookLine = Omit<LogbookEntry, "offset" | "atMs"> & { readonly atMs?: number };

function describeRecord(ledger: TaskLedger, record: TaskRecord): LogbookLine | undefined {
    switch (record.kind) {
        case TaskRecordKind.Submit:
            return createLine(record.spec.taskId, "", 0, LogbookEvent.Submitted, record.spec.team);
        case TaskRecordKind.Bind:
            return createLine(record.taskId, record.worker, 0, LogbookEvent.Bound, "");
        case TaskRecordKind.Release:
            return createLine(record.taskId, record.worker, record.lastAttempt, LogbookEvent.Released, record.reason);
        case TaskRecordKind.Finish:
            return createLine(record.taskId, record.worker, record.attempt, convertPhase(record.phase), record.reason);
        case TaskRecordKind.Cancel: {
            const ended = ledger.getTask(record.taskId)?.phase === TaskPhase.Cancelled;
            const event = ended ? LogbookEvent.Cancelled : LogbookEvent.CancelRequested;
            return createLine(record.taskId, "", 0, event, record.reason);
        }
        case TaskRecordKind.Park:
            return createLine(record.taskId, "", 0, LogbookEvent.Parked, record.reason);
        case TaskRecordKind.Unpark:
            return createLine(record.taskId, "", 0, LogbookEvent.Unparked, "");
        case TaskRecordKind.Event:
            return createLine(record.taskId, record.worker, record.attempt, record.event, record.reason, record.atMs);
        default:
            return undefined;
    }
}

function createLine(
    taskId: string,
    worker: string,
    attempt: number,
    event: LogbookEvent,
    reason: string,
    atMs?: number,
): LogbookLine {
    const line = { taskId, worker, attempt, event, reason };
    return atMs === undefined ? line : { ...line, atMs };
}

function convertPhase(phase: TaskPhase): LogbookEvent {
    switch (phase) {
        case TaskPhase.Finished:
            return LogbookEvent.Succeeded;
        case TaskPhase.Cancelled:
            return LogbookEvent.Cancelled;
        default:
            return LogbookEvent.Failed;
    }
}
