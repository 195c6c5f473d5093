import type { AppendAnswer, KeyedRecord } from "@sardinestage/describe-ports";
import { AppendOutcome, Topic, waitFor } from "@sardinestage/describe-ports";
import { AdaptiveTimeout } from "@sardinestage/learn-behaviour";
import type { CoordinatorParts } from "../coordinatorParts.js";
import { limits } from "../limits.js";
import { chooseFlushInterval } from "./chooseFlushInterval.js";
import { RefusedRecord } from "./refusedRecord.js";

const WRITER_NAME = "coordinator";
/** Bytes of a record in an append beside its key and value: the lengths of the record and of its key. */
const RECORD_OVERHEAD_BYTES = 5;

/** A callback that waits until all changes scheduled before it are recorded. */
interface Waiter {
    readonly run: () => void;
    /** Whether the callback may run before that while the store is unavailable. */
    readonly mayRunUnrecorded: boolean;
}

/**
 * Records the progress of jobs in the store, one append at a time. Anything that depends on a record (an order, an
 * acknowledgement, an answer to a caller) waits here until the record is written.
 */
export class ProgressWriter {
    /** Encoders of the records to be written, by key; undefined deletes the record. */
    private readonly dirty = new Map<string, (() => Uint8Array) | undefined>();
    private waiters: Waiter[] = [];
    private readonly timeout = new AdaptiveTimeout({
        leastMs: limits.minFlushTimeoutMs,
        mostMs: limits.maxFlushTimeoutMs,
    });
    private sequence = 0;
    private isFlushing = false;
    private isClosed = false;
    /**
     * When a record was last written, or when the first record after an idle time was scheduled, in steady
     * milliseconds.
     */
    private lastWrittenAtMs: number;
    /** Whether a callback ran before the records it depends on were written. */
    hasUnrecordedStarts = false;

    /**
     * @param parts Dependencies of the coordinator.
     * @param noteRefused Called with the key of a record that can never be written. What waited for it goes on.
     */
    constructor(private readonly parts: CoordinatorParts, private readonly noteRefused: (key: string) => void) {
        this.lastWrittenAtMs = parts.clock.getNow();
    }

    /** Fences the topic: after success, no earlier coordinator can write to it. False if it fails. */
    async open(): Promise<boolean> {
        // The longest timeout, since the store's latency isn't known yet and the whole takeover depends on this call.
        const answer = await this.append([], limits.maxFlushTimeoutMs);
        return answer.outcome === AppendOutcome.Appended;
    }

    /**
     * Schedules the write of a record. The record is encoded when it is written, not now. A deletion is written after
     * everything that was scheduled before it.
     *
     * @param encode Encodes the record; undefined deletes it.
     */
    schedule(key: string, encode: (() => Uint8Array) | undefined): void {
        if (encode === undefined) {
            this.dirty.delete(key);
        }
        this.dirty.set(key, encode);
        this.startFlush();
    }

    /**
     * Runs a callback once everything scheduled so far is recorded.
     *
     * @param mayRunUnrecorded Whether the callback may run earlier while the store is unavailable.
     */
    runWhenRecorded(run: () => void, mayRunUnrecorded: boolean): void {
        if (this.dirty.size === 0 && !this.isFlushing) {
            run();
            return;
        }
        if (mayRunUnrecorded && this.isStoreUnavailable) {
            this.parts.metrics.count("unrecorded_starts_total", "store-away");
            this.hasUnrecordedStarts = true;
            run();
            return;
        }
        this.waiters.push({ run, mayRunUnrecorded });
    }

    /**
     * Whether the store has taken no record for so long that work continues unrecorded. The next coordinator concludes
     * from the age of the last term renewal whether unrecorded work may exist, so the renewals must have stopped as
     * well.
     */
    get isStoreUnavailable(): boolean {
        const { clock, getTermRenewalAge } = this.parts;
        return this.isFlushing && clock.getNow() - this.lastWrittenAtMs >= limits.unrecordedAfterMs
            && getTermRenewalAge() >= limits.unrecordedAfterMs;
    }

    /** Stops writing; records and callbacks that still wait are dropped. */
    close(): void {
        this.isClosed = true;
        this.waiters = [];
        this.dirty.clear();
    }

    private startFlush(): void {
        if (!this.isFlushing && !this.isClosed) {
            this.isFlushing = true;
            this.lastWrittenAtMs = this.parts.clock.getNow();
            void this.runFlushes();
        }
    }

    private async runFlushes(): Promise<void> {
        const { clock } = this.parts;
        let startedAtMs = clock.getNow();
        await Promise.resolve();
        while (this.dirty.size > 0 && !this.isClosed) {
            const records = this.encodeBatch();
            const waiters = this.dirty.size === 0 ? this.waiters : [];
            this.waiters = this.dirty.size === 0 ? [] : this.waiters;
            startedAtMs = clock.getNow();
            const wasWritten = await this.write(records, waiters);
            if (!wasWritten) {
                return;
            }
            this.lastWrittenAtMs = clock.getNow();
            this.parts.metrics.recordDuration("progress_append", this.lastWrittenAtMs - startedAtMs);
            this.hasUnrecordedStarts &&= this.dirty.size > 0;
            waiters.forEach(waiter => waiter.run());
            const intervalMs = chooseFlushInterval(this.parts.getLoopDelay());
            await waitFor(clock, Math.max(0, intervalMs - (clock.getNow() - startedAtMs)));
        }
        this.isFlushing = false;
        const waiters = this.waiters;
        this.waiters = [];
        waiters.forEach(waiter => waiter.run());
    }

    private encodeBatch(): KeyedRecord[] {
        const maxBytes = Math.min(limits.maxFlushBytes, this.parts.rules.storeLimits.maxAppendBytes);
        const records: KeyedRecord[] = [];
        let bytes = 0;
        for (const [key, encode] of this.dirty) {
            const record = this.tryEncoding(key, encode);
            const recordBytes = RECORD_OVERHEAD_BYTES + key.length + (record?.value?.length ?? 0);
            if (records.length > 0 && bytes + recordBytes > maxBytes) {
                break;
            }
            if (record !== undefined) {
                this.dirty.delete(key);
                bytes += recordBytes;
                records.push(record);
            }
        }
        return records;
    }

    /** Encodes a record. One that can't be encoded is left out, since it must not hold up all others. */
    private tryEncoding(key: string, encode: (() => Uint8Array) | undefined): KeyedRecord | undefined {
        try {
            return { key, value: encode?.() };
        }
        catch (failure) {
            // Before the refusal is noted, since that may schedule another record of the same key.
            this.dirty.delete(key);
            this.refuseRecord(key, 0, RefusedRecord.Unencodable, String(failure));
            return undefined;
        }
    }

    private refuseRecord(key: string, bytes: number, reason: RefusedRecord, problem?: string): void {
        this.parts.logger.error("progress-record-refused", { key, bytes, reason, problem, term: this.parts.term });
        this.parts.metrics.count("progress_records_refused_total", reason);
        this.noteRefused(key);
    }

    /**
     * Repeats an append until it succeeds, or leaves out the records that the store will never take. Returns false if
     * this coordinator is closed or fenced off.
     */
    private async write(records: readonly KeyedRecord[], waiters: Waiter[]): Promise<boolean> {
        const { clock, logger, metrics } = this.parts;
        let tries = 0;
        while (!this.isClosed) {
            const sentAtMs = clock.getNow();
            const answer = await this.append(records);
            if (answer.outcome === AppendOutcome.Appended) {
                if (tries > 0) {
                    logger.info("progress-write-regained", { tries, term: this.parts.term });
                }
                return true;
            }
            if (answer.outcome === AppendOutcome.Fenced || answer.outcome === AppendOutcome.SequenceMismatch) {
                const reason = AppendOutcome[answer.outcome];
                logger.warn("progress-write-fenced", { reason, term: this.parts.term });
                this.parts.onTermLost(`progress:${reason}`);
                return false;
            }
            if (answer.outcome === AppendOutcome.TooLarge || answer.outcome === AppendOutcome.Malformed) {
                return this.writeSeparately(records, waiters, answer.outcome);
            }
            if (tries === 0) {
                logger.warn("progress-write-failed", {
                    outcome: AppendOutcome[answer.outcome],
                    records: records.length,
                });
            }
            tries++;
            metrics.count("progress_write_failures_total", AppendOutcome[answer.outcome]);
            // An append that timed out has waited long enough; an answer that says nothing of it may come at once.
            const waitedMs = answer.outcome === AppendOutcome.Unknown ? clock.getNow() - sentAtMs : 0;
            if (waitedMs < limits.flushRetryMs) {
                await waitFor(clock, limits.flushRetryMs - waitedMs);
            }
            this.runUnrecorded(waiters);
        }
        return false;
    }

    /** Writes the halves of a batch that the store won't take, down to the record that is at fault. */
    private async writeSeparately(
        records: readonly KeyedRecord[],
        waiters: Waiter[],
        outcome: AppendOutcome,
    ): Promise<boolean> {
        if (records.length === 1) {
            const [{ key, value }] = records;
            const isTooLarge = outcome === AppendOutcome.TooLarge;
            this.refuseRecord(key, value?.length ?? 0, isTooLarge ? RefusedRecord.TooLarge : RefusedRecord.Malformed);
            return true;
        }
        const half = Math.ceil(records.length / 2);
        return await this.write(records.slice(0, half), waiters) && this.write(records.slice(half), waiters);
    }

    private runUnrecorded(inFlight: Waiter[]): void {
        if (!this.isStoreUnavailable) {
            return;
        }
        for (const waiters of [inFlight, this.waiters]) {
            const released = waiters.filter(waiter => waiter.mayRunUnrecorded);
            waiters.splice(0, waiters.length, ...waiters.filter(waiter => !waiter.mayRunUnrecorded));
            this.hasUnrecordedStarts ||= released.length > 0;
            released.forEach(waiter => waiter.run());
            this.parts.metrics.count("unrecorded_starts_total", "store-away", released.length);
        }
    }

    /** Chooses a timeout that ends by the time when work may continue unrecorded, so that this isn't delayed. */
    private chooseTimeout(nowMs: number): number {
        const untilUnrecordedMs = this.lastWrittenAtMs + limits.unrecordedAfterMs - nowMs;
        const { currentMs } = this.timeout;
        return untilUnrecordedMs > 0
            ? Math.min(currentMs, Math.max(limits.minFlushTimeoutMs, untilUnrecordedMs))
            : currentMs;
    }

    private async append(
        records: readonly KeyedRecord[],
        timeoutMs = this.chooseTimeout(this.parts.clock.getNow()),
    ): Promise<AppendAnswer> {
        const writer = { name: WRITER_NAME, epoch: this.parts.term, sequence: this.sequence };
        const { store, clock } = this.parts;
        const sentAtMs = clock.getNow();
        const answer = await store.append({ topic: Topic.Progress, records, writer, timeoutMs });
        this.timeout.noteOutcome(answer.outcome !== AppendOutcome.Unknown, clock.getNow() - sentAtMs);
        if (answer.outcome === AppendOutcome.Appended && records.length > 0) {
            this.sequence++;
        }
        return answer;
    }
}
