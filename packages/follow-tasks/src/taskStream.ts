import type { LogPort, LogRecord, NewLogRecord } from "@sardinestage/call-platform";
import type { Metrics } from "@sardinestage/count-metrics";
import type { LogbookEvent } from "@sardinestage/fold-tasks";
import { applyTaskRecord, TaskLedger, TaskRecordKind } from "@sardinestage/fold-tasks";
import type { TaskRecord } from "@sardinestage/fold-tasks";
import { LogAppender, LogFollower } from "@sardinestage/follow-log";

/** How the log is read and appended to; see the settings page. */
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

/** Reads of the log further apart than this many waits of a read are a gap. */
const GAP_WAITS = 4;
const MAX_BATCH = 500;

/** The failure domain's task stream: what it says, and what this process adds to it. */
export class TaskStream {
    /** The tasks as the log's order has them. */
    readonly ledger = new TaskLedger();
    /** Listens to each record that took effect. */
    onEffect: (record: TaskRecord, position: LogRecord) => void = () => {};
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
                    this.onEffect(effect, record);
                }
            },
            handleGap: () => this.ledger.reset(),
            handleFailure: countFailure,
        });
    }

    /** Reads until stopped. */
    async follow(): Promise<void> {
        await this.follower.follow();
    }

    /** Ends reading and appending. */
    stop(): void {
        this.follower.stop();
        this.appender.stop();
    }

    /**
     * Appends a record; a record with a fixed id can be added again while it is pending.
     *
     * @returns Whether it was taken; `false` when the log has been out for too long.
     */
    append(record: NewLogRecord): boolean {
        if (this.appender.add(record).err) {
            this.options.metrics.count("log_records_dropped_total", "too-many-pending");
            return false;
        }
        return true;
    }

    /** Waits until a record was read back; its place in the log's order is decided then. */
    waitForRecord(id: string): Promise<number> {
        return this.follower.waitForRecord(id);
    }

    /** Waits until a read sent after this call has reached the log's end. */
    waitForHead(): Promise<void> {
        return this.follower.waitForHead();
    }

    /** Writes a line of the logbook. */
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

    /** Whether a record waits to be read back. */
    isPending(id: string): boolean {
        return this.appender.has(id);
    }

    /** How many records wait to be read back. */
    getPendingCount(): number {
        return this.appender.getPendingCount();
    }

    /** When the newest read that reached the log's end was sent. */
    getFreshAtMs(): number {
        return this.follower.getFreshAtMs();
    }

    /** Whether the log was read to its end a short time ago. */
    isFresh(): boolean {
        return this.options.now() - this.follower.getFreshAtMs() <= this.maxGapMs;
    }

    /** Whether the log was ever read to its end. */
    isLoaded(): boolean {
        return this.follower.getFreshAtMs() > Number.NEGATIVE_INFINITY;
    }

    /** Since when the log has been read without a gap; plus infinity while there is one. Called at least once a second. */
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
