import type { Clock, KeyedRecord, StorePort, Topic } from "@sardinestage/describe-ports";
import { ReadOutcome, waitFor } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";

/** Backoff after the first failed read, in milliseconds; doubles with each further failure up to `MAX_RETRY_MS`. */
const FIRST_RETRY_MS = 100;
/** Longest backoff after a failed read, in milliseconds. */
const MAX_RETRY_MS = 800;
/** Time beyond the long-poll wait that an answer may take before the follower counts as stale, in milliseconds. */
const READ_GRACE_MS = 1000;

/** The topic that a follower reads, the timing of its reads, and the callback for its records. */
interface TopicFollowerOptions {
    readonly store: StorePort;
    readonly topic: Topic;
    /** Name of the topic in log lines. */
    readonly name: string;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Long-poll wait: how long the store holds a read open until the next record arrives, in milliseconds. */
    readonly waitMs: number;
    /** Pause between two reads, in milliseconds. Records that arrive during the pause come in one answer. */
    readonly pauseMs: number;
    /**
     * Called with each record, possibly more than once. A record without a value says that its key was removed. If it
     * throws, the record is skipped.
     */
    readonly takeRecord: (record: KeyedRecord, offset: number) => void;
    /**
     * Called when all records below an offset have been taken.
     *
     * @param isLoad Whether the newest record of each key was read, so that keys without a record are removed.
     */
    readonly noteRead?: (readUpTo: number, isLoad: boolean) => void;
}

/**
 * Follows a topic: reads the newest record of each key page by page, then reads the topic's tail.
 * When the store has already dropped records that the follower still had to read, it pages again and reports the keys
 * that have disappeared since.
 */
export class TopicFollower {
    private readonly knownKeys = new Set<string>();
    private nextOffset = 0;
    private isClosed = false;
    private failures = 0;
    /**
     * Time of the monotonic clock up to which all records have been read, in milliseconds; undefined before the first
     * successful read.
     */
    freshAtMs: number | undefined;

    constructor(private readonly options: TopicFollowerOptions) {}

    /** Whether `freshAtMs` is at most one long-poll wait plus `READ_GRACE_MS` ago, so that no read is overdue. */
    get isFresh(): boolean {
        const { clock, waitMs } = this.options;
        return this.freshAtMs !== undefined && clock.getNow() - this.freshAtMs <= waitMs + READ_GRACE_MS;
    }

    /**
     * Reads the newest record of each key page by page. The pages are no consistent snapshot, so the tail is read from
     * the offset at which the topic ended when the first page was read.
     *
     * @returns Whether all pages were read.
     */
    async load(): Promise<boolean> {
        const { store, topic, clock } = this.options;
        const startedAtMs = clock.getNow();
        const listedKeys = new Set<string>();
        let end: number | undefined;
        let after: string | undefined;
        let hasMore = true;
        while (hasMore) {
            const page = await store.readNewest(topic, after);
            if (!page.succeeded) {
                return false;
            }
            end ??= page.end;
            for (const record of page.records) {
                listedKeys.add(record.key);
                this.takeRecord(record, record.offset);
            }
            after = page.records.at(-1)?.key;
            hasMore = page.hasMore && after !== undefined;
        }
        this.removeMissingKeys(listedKeys, end ?? 0);
        this.nextOffset = end ?? 0;
        this.options.noteRead?.(this.nextOffset, true);
        this.freshAtMs = startedAtMs;
        return true;
    }

    /** Follows the tail until closed; loads first unless `load` has already succeeded. */
    async run(): Promise<void> {
        let isLoaded = this.freshAtMs !== undefined;
        while (!this.isClosed) {
            if (!isLoaded) {
                isLoaded = await this.load();
                await this.waitAfterRead(isLoaded);
                continue;
            }
            const outcome = await this.readTail(this.options.waitMs);
            isLoaded = outcome !== ReadOutcome.Expired;
            if (isLoaded) {
                await this.waitAfterRead(outcome === ReadOutcome.Read);
            }
        }
    }

    /**
     * Reads the records that the tail holds now, without a long-poll wait, for answers that must not be stale.
     *
     * @returns Whether the read succeeded.
     */
    async refresh(): Promise<boolean> {
        return await this.readTail(0) === ReadOutcome.Read;
    }

    /** Ends `run` after the read in progress. */
    close(): void {
        this.isClosed = true;
    }

    private async readTail(waitMs: number): Promise<ReadOutcome> {
        const { store, topic, clock, logger, name } = this.options;
        const from = this.nextOffset;
        const startedAtMs = clock.getNow();
        const answer = await store.read(topic, from, waitMs);
        if (this.isClosed) {
            return answer.outcome;
        }
        if (answer.outcome === ReadOutcome.Read) {
            // An empty answer shows that no record arrived during the whole wait.
            const waitedMs = answer.records.length === 0 ? waitMs : 0;
            this.freshAtMs = Math.max(Math.min(startedAtMs + waitedMs, clock.getNow()), this.freshAtMs ?? 0);
            for (const record of answer.records) {
                if (record.offset >= this.nextOffset) {
                    this.takeRecord(record, record.offset);
                }
            }
            this.nextOffset = Math.max(this.nextOffset, answer.next);
            this.options.noteRead?.(this.nextOffset, false);
        }
        else if (answer.outcome === ReadOutcome.Expired) {
            logger.warn("topic-tail-expired", { topic: name, from });
        }
        return answer.outcome;
    }

    private async waitAfterRead(succeeded: boolean): Promise<void> {
        const { clock, logger, name, pauseMs } = this.options;
        if (succeeded) {
            if (this.failures > 0) {
                logger.info("topic-read-regained", { topic: name, failures: this.failures });
            }
            this.failures = 0;
            await waitFor(clock, pauseMs);
            return;
        }
        if (this.failures === 0) {
            logger.warn("topic-read-failed", { topic: name, from: this.nextOffset });
        }
        await waitFor(clock, Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** Math.min(this.failures, 10)));
        this.failures++;
    }

    private takeRecord(record: KeyedRecord, offset: number): void {
        if (record.value === undefined) {
            this.knownKeys.delete(record.key);
        }
        else {
            this.knownKeys.add(record.key);
        }
        try {
            this.options.takeRecord(record, offset);
        }
        catch (failure) {
            // A record that can't be handled must neither hide the later ones nor end the process.
            this.options.logger.error("record-failed", {
                topic: this.options.name,
                key: record.key,
                offset,
                problem: String(failure),
            });
        }
    }

    /** Reports the keys that are gone. The records that removed them are unknown, but below the topic's end. */
    private removeMissingKeys(listedKeys: ReadonlySet<string>, end: number): void {
        for (const key of [...this.knownKeys]) {
            if (!listedKeys.has(key)) {
                this.takeRecord({ key, value: undefined }, Math.max(this.nextOffset, end - 1));
            }
        }
    }
}
