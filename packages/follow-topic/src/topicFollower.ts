import type { Clock, KeyedRecord, StorePort, Topic } from "@sardinestage/describe-ports";
import { ReadOutcome, waitFor } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";

/** The first pause after a failed read, in milliseconds; it doubles up to `MAX_RETRY_MS`. */
const FIRST_RETRY_MS = 100;
/** The longest pause after failed reads, in milliseconds. */
const MAX_RETRY_MS = 800;
/** A read's answer may take this long beyond its wait before the follower has fallen behind, in milliseconds. */
const ANSWER_MS = 1000;

/** What a follower reads and whom it tells. */
interface TopicFollowerOptions {
    readonly store: StorePort;
    readonly topic: Topic;
    /** Name of the topic in log lines. */
    readonly name: string;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** How long a read waits at the store for the next record, in milliseconds. */
    readonly waitMs: number;
    /** Pause between two reads, in milliseconds: what gathers meanwhile comes in one answer. */
    readonly pauseMs: number;
    /** Takes each record, also more than once; without a value when the key is gone. */
    readonly takeRecord: (record: KeyedRecord, offset: number) => void;
}

/**
 * Keeps up with a topic: pages through the newest record of each key, then follows the tail.
 * When the tail was dropped before it was read, it pages again, and reports the keys that are gone.
 */
export class TopicFollower {
    private readonly keys = new Set<string>();
    private next = 0;
    private isClosed = false;
    private failures = 0;
    /** Up to when all records are known, in steady milliseconds; undefined before the first read that succeeded. */
    freshAtMs: number | undefined;

    constructor(private readonly options: TopicFollowerOptions) {}

    /** Whether all records are known but for the newest: no read is overdue. */
    get isFresh(): boolean {
        const { clock, waitMs } = this.options;
        return this.freshAtMs !== undefined && clock.getNow() - this.freshAtMs <= waitMs + ANSWER_MS;
    }

    /**
     * Pages through the newest record of each key. Pages are no snapshot, so the tail is read from where the first
     * page was made.
     *
     * @returns Whether all pages could be read.
     */
    async load(): Promise<boolean> {
        const { store, topic, clock } = this.options;
        const startedAtMs = clock.getNow();
        const seen = new Set<string>();
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
                seen.add(record.key);
                this.takeRecord(record, record.offset);
            }
            after = page.records.at(-1)?.key;
            hasMore = page.hasMore && after !== undefined;
        }
        this.dropMissing(seen);
        this.next = end ?? 0;
        this.freshAtMs = startedAtMs;
        return true;
    }

    /** Follows the tail until closed; loads first when that wasn't done. */
    async run(): Promise<void> {
        let isLoaded = this.freshAtMs !== undefined;
        while (!this.isClosed) {
            if (!isLoaded) {
                isLoaded = await this.load();
                await this.waitAfter(isLoaded);
                continue;
            }
            const outcome = await this.readOnce(this.options.waitMs);
            isLoaded = outcome !== ReadOutcome.Expired;
            if (isLoaded) {
                await this.waitAfter(outcome === ReadOutcome.Read);
            }
        }
    }

    /** Reads what the tail holds now, without waiting; for answers that must not be stale. */
    async refresh(): Promise<boolean> {
        return await this.readOnce(0) === ReadOutcome.Read;
    }

    /** Ends after the read that is under way. */
    close(): void {
        this.isClosed = true;
    }

    private async readOnce(waitMs: number): Promise<ReadOutcome> {
        const { store, topic, clock, logger, name } = this.options;
        const from = this.next;
        const startedAtMs = clock.getNow();
        const answer = await store.read(topic, from, waitMs);
        if (this.isClosed) {
            return answer.outcome;
        }
        if (answer.outcome === ReadOutcome.Read) {
            // The store had nothing for as long as the read waited.
            const waitedMs = answer.records.length === 0 ? waitMs : 0;
            this.freshAtMs = Math.max(Math.min(startedAtMs + waitedMs, clock.getNow()), this.freshAtMs ?? 0);
            for (const record of answer.records) {
                if (record.offset >= this.next) {
                    this.takeRecord(record, record.offset);
                }
            }
            this.next = Math.max(this.next, answer.next);
        }
        else if (answer.outcome === ReadOutcome.Expired) {
            logger.warn("topic-tail-expired", { topic: name, from });
        }
        return answer.outcome;
    }

    private async waitAfter(succeeded: boolean): Promise<void> {
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
            logger.warn("topic-read-failed", { topic: name, from: this.next });
        }
        await waitFor(clock, Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** Math.min(this.failures, 10)));
        this.failures++;
    }

    private takeRecord(record: KeyedRecord, offset: number): void {
        if (record.value === undefined) {
            this.keys.delete(record.key);
        }
        else {
            this.keys.add(record.key);
        }
        this.options.takeRecord(record, offset);
    }

    private dropMissing(seen: ReadonlySet<string>): void {
        for (const key of [...this.keys]) {
            if (!seen.has(key)) {
                this.takeRecord({ key, value: undefined }, this.next);
            }
        }
    }
}
