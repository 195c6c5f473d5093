import type { LogPort, LogRecord, NewLogRecord } from "@sardinestage/call-platform";
import type { Metrics } from "@sardinestage/count-metrics";
import type { LogbookEvent } from "@sardinestage/fold-tasks";
import { applyTaskRecord, TaskLedger, TaskRecordKind } from "@sardinestage/fold-tasks";
import type { TaskRecord } from "@sardinestage/fold-tasks";
import { LogAppender, LogFollower } from "@sardinestage/follow-log";

/** Settings for reading the log and appending to it, in milliseconds apart from the count. */
interface PlatformLimits {
    readonly readWaitMs: number;
    readonly appendFlushMs: number;
    readonly resendMs: number;
    readonly maxPendingRecords: number;
}

interface TaskStreamOptions {
    readonly domain: string;
    readonly platform: PlatformLimits;
    readonly log: LogPort;
    readonly metrics: Metrics;
    readonly now: () => number;
}

/** Reads of the log count as interrupted by a gap when they are more than this many read waits apart. */
const GAP_WAITS = 4;
/** Most records in one append. */
const MAX_BATCH = 500;

/** A failure domain's task stream: follows it, keeps the state that results, and appends this process's records. */
export class TaskStream {
    /** State of the tasks, lease holders and condemnations according to the log. */
    readonly ledger = new TaskLedger();
    /** Called for each record that took effect. */
    onRecordApplied: (record: TaskRecord, position: LogRecord) => void = () => {};
    private readonly follower: LogFollower;
    private readonly appender: LogAppender;
    private readonly maxGapMs: number;
    private continuousSinceMs = Number.POSITIVE_INFINITY;
    private lastFreshAtMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly options: TaskStreamOptions) {
        const { platform, domain, log, metrics, now } = options;
        const stream = `tasks.${domain}`;
        const countFailure = (failure: { kind: string }) => metrics.count("log_failures_total", failure.kind);
        this.maxGapMs = platform.readWaitMs * GAP_WAITS;
        this.appender = new LogAppender({
            log,
            stream,
            flushMs: platform.appendFlushMs,
            resendMs: platform.resendMs,
            maxPending: platform.maxPendingRecords,
            maxBatch: MAX_BATCH,
            now,
            handleFailure: countFailure,
        });
        this.follower = new LogFollower({
            log,
            stream,
            waitMs: platform.readWaitMs,
            retryMs: platform.appendFlushMs,
            now,
            applyRecord: record => {
                this.appender.confirm(record.id);
                const effect = applyTaskRecord(this.ledger, record);
                if (effect === undefined) {
                    metrics.count("log_records_void_total", String((record.data as { kind?: unknown })?.kind));
                }
                else {
                    this.onRecordApplied(effect, record);
                }
            },
            handleGap: () => this.ledger.reset(),
            handleFailure: countFailure,
        });
    }

    /** Follows the log until `stop` is called. */
    async follow(): Promise<void> {
        await this.follower.follow();
    }

    /** Stops reading and appending. */
    stop(): void {
        this.follower.stop();
        this.appender.stop();
    }

    /**
     * Appends a record. A record with the same id can be added again while the first is pending.
     *
     * @returns Whether the record was accepted; `false` when too many records are pending, as in a long outage of the
     * log.
     */
    append(record: NewLogRecord): boolean {
        if (this.appender.add(record).err) {
            this.options.metrics.count("log_records_dropped_total", "too-many-pending");
            return false;
        }
        return true;
    }

    /** Waits until a record was read back, after which its position in the log is known. */
    waitForRecord(id: string): Promise<number> {
        return this.follower.waitForRecord(id);
    }

    /** Waits until a read that was sent after this call has reached the end of the log. */
    waitForHead(): Promise<void> {
        return this.follower.waitForHead();
    }

    /** Appends an entry of the logbook. */
    appendEvent(
        event: LogbookEvent,
        attempt: { taskId: string; attempt: number },
        worker: string,
        reason: string,
    ): void {
        const { taskId, attempt: number } = attempt;
        const atMs = Date.now();
        const data: TaskRecord = { kind: TaskRecordKind.Event, taskId, worker, attempt: number, event, reason, atMs };
        this.append({ id: `event:${taskId}:${number}:${event}:${worker}:${atMs}`, data });
    }

    /** Whether a record is appended but not yet read back. */
    isPending(id: string): boolean {
        return this.appender.has(id);
    }

    /** Number of records that are appended but not yet read back. */
    getPendingCount(): number {
        return this.appender.getPendingCount();
    }

    /** When the newest read that reached the end of the log was sent, in monotonic milliseconds. */
    getFreshAtMs(): number {
        return this.follower.getFreshAtMs();
    }

    /** Whether the log was read to its end a short time ago. */
    isFresh(): boolean {
        return this.options.now() - this.follower.getFreshAtMs() <= this.maxGapMs;
    }

    /** Whether the log has been read to its end at least once. */
    isLoaded(): boolean {
        return this.follower.getFreshAtMs() > Number.NEGATIVE_INFINITY;
    }

    /**
     * Updates and returns since when the log has been read without a gap, in monotonic milliseconds; plus infinity
     * while there is a gap. Must be called at least once a second.
     */
    updateContinuity(): number {
        const freshAtMs = this.follower.getFreshAtMs();
        if (this.options.now() - freshAtMs > this.maxGapMs) {
            this.continuousSinceMs = Number.POSITIVE_INFINITY;
        }
        else if (
            freshAtMs - this.lastFreshAtMs > this.maxGapMs || this.continuousSinceMs === Number.POSITIVE_INFINITY
        ) {
            this.continuousSinceMs = freshAtMs;
        }
        this.lastFreshAtMs = freshAtMs;
        return this.continuousSinceMs;
    }
}
