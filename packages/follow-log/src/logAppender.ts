import type { LogPort, NewLogRecord } from "@sardinestage/call-platform";
import type { StageError } from "@sardinestage/errors";
import { ErrorKind, StageError as Failure } from "@sardinestage/errors";
import type { Result } from "ts-results";
import tsResults from "ts-results";

const { Err, Ok } = tsResults;

/** What an appender writes to. */
interface LogAppenderOptions {
    readonly log: LogPort;
    readonly stream: string;
    /** Records gather for so many milliseconds before they are sent together. */
    readonly flushMs: number;
    /** Records that were not read back are sent again after so many milliseconds. */
    readonly resendMs: number;
    readonly maxPending: number;
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
 * Appends records in batches and keeps each until it was read back, since an answer can be lost after the append took
 * effect. A record's id is its identity: adding one that is pending changes nothing.
 */
export class LogAppender {
    private readonly pending = new Map<string, PendingRecord>();
    private timer: NodeJS.Timeout | undefined;
    private sending = false;

    constructor(private readonly options: LogAppenderOptions) {}

    /**
     * Adds a record to the next batch.
     *
     * @param record What to append; safe to land more than once.
     * @returns `TooManyPending` when the log has been out for so long that no more can be kept.
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

    /** Notes that a record was read back. */
    confirm(id: string): void {
        this.pending.delete(id);
    }

    /** Gives up a record that is no longer wanted; it may land all the same. */
    cancel(id: string): void {
        this.pending.delete(id);
    }

    /** Whether a record waits to be read back. */
    has(id: string): boolean {
        return this.pending.has(id);
    }

    /** How many records wait to be read back. */
    getPendingCount(): number {
        return this.pending.size;
    }

    /** Ends sending. */
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
