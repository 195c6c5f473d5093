import type { LogPort, NewLogRecord } from "@sardinestage/call-platform";
import type { StageError } from "@sardinestage/errors";
import { ErrorKind, StageError as Failure } from "@sardinestage/errors";
import type { Result } from "ts-results";
import tsResults from "ts-results";

const { Err, Ok } = tsResults;

/** Log stream, timing and limits of an appender. */
interface LogAppenderOptions {
    readonly log: LogPort;
    readonly stream: string;
    /** How long records are collected before they are sent as a batch, in milliseconds. */
    readonly flushMs: number;
    /** Time after which a record that has not been read back is sent again, in milliseconds. */
    readonly resendMs: number;
    /** Most records that may wait to be read back. */
    readonly maxPending: number;
    /** Most records in one batch. */
    readonly maxBatch: number;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
    readonly handleFailure: (failure: StageError) => void;
}

interface PendingRecord {
    readonly record: NewLogRecord;
    sentAtMs: number;
}

/**
 * Appends records in batches and keeps each record until it has been read back, because the answer to an append can be
 * lost after the append took effect. Records are identified by id: adding a pending record again has no effect.
 */
export class LogAppender {
    private readonly pending = new Map<string, PendingRecord>();
    private timer: NodeJS.Timeout | undefined;
    private sending = false;

    constructor(private readonly options: LogAppenderOptions) {}

    /**
     * Adds a record to the next batch.
     *
     * @param record The record to append. It may be appended more than once, so applying it again must be harmless.
     * @returns A `TooManyPending` error when `maxPending` records already wait, because the log is unavailable.
     */
    add(record: NewLogRecord): Result<void, StageError> {
        if (this.pending.has(record.id)) {
            return Ok(undefined);
        }
        if (this.pending.size >= this.options.maxPending) {
            return Err(
                new Failure(
                    ErrorKind.TooManyPending,
                    "The log has not taken records for a long time, and no more can be kept.",
                    "Try again when the platform's log is back.",
                ),
            );
        }
        this.pending.set(record.id, { record, sentAtMs: Number.NEGATIVE_INFINITY });
        this.scheduleFlush(this.options.flushMs);
        return Ok(undefined);
    }

    /** Removes a record that has been read back. */
    confirm(id: string): void {
        this.pending.delete(id);
    }

    /** Stops sending a record that is no longer wanted. The record may still be appended by an earlier send. */
    cancel(id: string): void {
        this.pending.delete(id);
    }

    /** Whether a record is waiting to be read back. */
    has(id: string): boolean {
        return this.pending.has(id);
    }

    /** Returns the number of records waiting to be read back. */
    getPendingCount(): number {
        return this.pending.size;
    }

    /** Stops sending and drops the pending records. */
    stop(): void {
        clearTimeout(this.timer);
        this.pending.clear();
    }

    private scheduleFlush(delayMs: number): void {
        if (this.timer === undefined && !this.sending) {
            this.timer = setTimeout(() => void this.flush(), delayMs);
        }
    }

    private async flush(): Promise<void> {
        this.timer = undefined;
        const nowMs = this.options.now();
        const due = [...this.pending.values()]
            .filter(pending => nowMs - pending.sentAtMs >= this.options.resendMs)
            .slice(0, this.options.maxBatch);
        if (due.length > 0) {
            this.sending = true;
            due.forEach(pending => pending.sentAtMs = nowMs);
            const sent = await this.options.log.append(this.options.stream, due.map(pending => pending.record));
            this.sending = false;
            if (sent.err) {
                this.options.handleFailure(sent.val);
            }
        }
        if (this.pending.size > 0) {
            this.scheduleFlush(due.length > 0 ? this.options.flushMs : this.options.resendMs / 2);
        }
    }
}
