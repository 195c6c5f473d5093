import type {
    AppendAnswer,
    AppendCall,
    Clock,
    NewestRecordsPage,
    ReadAnswer,
    StoredRecord,
    StorePort,
    Topic,
} from "@sardinestage/describe-ports";
import { AppendOutcome, ReadOutcome, waitFor } from "@sardinestage/describe-ports";
import type { StoreFaults } from "./storeFaults.js";

/** Records of a page of the newest. */
const PAGE = 50;
/** Time that a store nearby takes for an answer, in milliseconds. */
const USUAL_ANSWER_MS = 4;

/** One topic. */
interface Stream {
    readonly records: StoredRecord[];
    epoch: number;
    sequence: number;
    /** The last answer to the writer, for repeats. */
    last: AppendAnswer | undefined;
    readonly waiters: Set<() => void>;
}

/** The platform's store in memory: conditional appends, writers with epochs, the newest record of each key. */
export class MemoryStore implements StorePort {
    readonly faults: StoreFaults = { isDown: false, lostShare: 0, lateMs: 0, answerMs: USUAL_ANSWER_MS };
    private readonly streams = new Map<Topic, Stream>();

    /**
     * @param clock Of the test.
     * @param random Numbers from 0 to 1, from the test's seed.
     */
    constructor(private readonly clock: Clock, private readonly random: () => number) {}

    /** Appends, or says why not. */
    async append(call: AppendCall): Promise<AppendAnswer> {
        await waitFor(this.clock, this.faults.answerMs / 2);
        if (this.faults.isDown) {
            return this.waitUnanswered(call.timeoutMs);
        }
        if (this.random() < this.faults.lostShare) {
            const { lateMs } = this.faults;
            if (lateMs > 0) {
                this.clock.schedule(lateMs, () => this.applyAppend(call));
            }
            else {
                this.applyAppend(call);
            }
            return this.waitUnanswered(call.timeoutMs);
        }
        const answer = this.applyAppend(call);
        const { answerMs } = this.faults;
        if (answerMs > call.timeoutMs) {
            // It comes, but nobody waits for it any more.
            return this.waitUnanswered(call.timeoutMs - answerMs / 2);
        }
        await waitFor(this.clock, answerMs / 2);
        return answer;
    }

    /** Reads the tail; waits for the first record. */
    async read(topic: Topic, from: number, waitMs: number): Promise<ReadAnswer> {
        await waitFor(this.clock, this.faults.answerMs);
        if (this.faults.isDown) {
            await waitFor(this.clock, waitMs);
            return { outcome: ReadOutcome.Failed, records: [], next: from };
        }
        const stream = this.getStream(topic);
        if (stream.records.length <= from && waitMs > 0) {
            await this.waitForRecord(stream, waitMs);
        }
        const records = stream.records.slice(from);
        return { outcome: ReadOutcome.Read, records, next: from + records.length };
    }

    /** Reads a page of the newest records. */
    async readNewest(topic: Topic, afterKey: string | undefined): Promise<NewestRecordsPage> {
        await waitFor(this.clock, this.faults.answerMs);
        if (this.faults.isDown) {
            return { succeeded: false, records: [], hasMore: false, end: 0 };
        }
        const stream = this.getStream(topic);
        const newest = new Map(stream.records.map(record => [record.key, record]));
        const keys = [...newest.keys()].filter(key => newest.get(key)?.value !== undefined).sort();
        const rest = keys.filter(key => afterKey === undefined || key > afterKey);
        const records = rest.slice(0, PAGE).flatMap(key => newest.get(key) ?? []);
        return { succeeded: true, records, hasMore: rest.length > PAGE, end: stream.records.length };
    }

    private applyAppend(call: AppendCall): AppendAnswer {
        const stream = this.getStream(call.topic);
        const end = stream.records.length;
        if (call.at !== undefined && call.at !== end) {
            return { outcome: AppendOutcome.ConditionFailed, offset: 0, end };
        }
        if (call.writer !== undefined) {
            const { epoch, sequence } = call.writer;
            if (epoch < stream.epoch) {
                return { outcome: AppendOutcome.Fenced, offset: 0, end };
            }
            if (epoch === stream.epoch && sequence === stream.sequence && stream.last !== undefined) {
                return stream.last;
            }
            if (epoch === stream.epoch && call.records.length > 0 && sequence !== stream.sequence + 1) {
                return { outcome: AppendOutcome.SequenceMismatch, offset: 0, end };
            }
            const isEpoch = call.records.length === 0;
            stream.epoch = epoch;
            stream.sequence = isEpoch ? sequence - 1 : sequence;
        }
        call.records.forEach((record, index) => stream.records.push({ ...record, offset: end + index }));
        const answer = { outcome: AppendOutcome.Appended, offset: end, end: end + call.records.length };
        stream.last = call.writer === undefined || call.records.length === 0 ? undefined : answer;
        stream.waiters.forEach(wake => wake());
        return answer;
    }

    private async waitUnanswered(timeoutMs: number): Promise<AppendAnswer> {
        await waitFor(this.clock, timeoutMs);
        return { outcome: AppendOutcome.Unknown, offset: 0, end: 0 };
    }

    private waitForRecord(stream: Stream, waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                stream.waiters.delete(wake);
                cancel();
                resolve();
            };
            const cancel = this.clock.schedule(waitMs, wake);
            stream.waiters.add(wake);
        });
    }

    private getStream(topic: Topic): Stream {
        let stream = this.streams.get(topic);
        if (stream === undefined) {
            stream = { records: [], epoch: -1, sequence: -1, last: undefined, waiters: new Set() };
            this.streams.set(topic, stream);
        }
        return stream;
    }
}
