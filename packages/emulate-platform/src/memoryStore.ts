import type {
    AppendAnswer,
    AppendCall,
    Clock,
    NewestRecordsPage,
    PageOptions,
    ReadAnswer,
    StoredRecord,
    StorePort,
    Topic,
} from "@sardinestage/describe-ports";
import { AppendOutcome, ReadOutcome, waitFor } from "@sardinestage/describe-ports";
import { emulatedStoreLimits } from "./emulatedStoreLimits.js";
import type { StoreFaults } from "./storeFaults.js";

/** Records per page of `readNewest`, by default: few, so that tests with few records read several pages. */
const DEFAULT_PAGE_RECORDS = 50;
/** Default timeout of a page, in milliseconds, as on the platform. */
const PAGE_TIMEOUT_MS = 1000;
/** Time beyond its wait after which a read of the tail times out, in milliseconds. */
const READ_TIMEOUT_MS = 1000;
/** Response time of a nearby store, in milliseconds. */
const DEFAULT_ANSWER_MS = 4;

/** Contents and writer state of one topic. */
interface TopicState {
    readonly records: StoredRecord[];
    epoch: number;
    sequence: number;
    /** The last answer to the topic's writer, returned again when the writer repeats an append. */
    lastAnswer: AppendAnswer | undefined;
    readonly waiters: Set<() => void>;
}

/** The platform's store in memory: conditional appends, writer epochs and the newest record of each key. */
export class MemoryStore implements StorePort {
    readonly faults: StoreFaults = {
        isDown: false,
        silentTopics: new Set(),
        refusedTopics: new Set(),
        lostAnswerShare: 0,
        applyDelayMs: 0,
        answerMs: DEFAULT_ANSWER_MS,
    };
    private readonly topics = new Map<Topic, TopicState>();

    /**
     * @param clock The test's clock.
     * @param random Returns numbers from 0 to 1, generated from the test's seed.
     * @param pageRecords Maximum number of records in a page of `readNewest`.
     */
    constructor(
        private readonly clock: Clock,
        private readonly random: () => number,
        private readonly pageRecords = DEFAULT_PAGE_RECORDS,
    ) {}

    /** Appends records; the outcome says why if nothing was appended. */
    async append(call: AppendCall): Promise<AppendAnswer> {
        await waitFor(this.clock, this.faults.answerMs / 2);
        if (this.faults.isDown || this.faults.silentTopics.has(call.topic)) {
            return this.waitForTimeout(call.timeoutMs);
        }
        if (this.faults.refusedTopics.has(call.topic)) {
            return { outcome: AppendOutcome.Refused, offset: 0, end: 0 };
        }
        if (this.random() < this.faults.lostAnswerShare) {
            const { applyDelayMs } = this.faults;
            if (applyDelayMs > 0) {
                this.clock.schedule(applyDelayMs, () => this.applyAppend(call));
            }
            else {
                this.applyAppend(call);
            }
            return this.waitForTimeout(call.timeoutMs);
        }
        const answer = this.applyAppend(call);
        const { answerMs } = this.faults;
        if (answerMs > call.timeoutMs) {
            // The answer arrives after the caller's timeout.
            return this.waitForTimeout(call.timeoutMs - answerMs / 2);
        }
        await waitFor(this.clock, answerMs / 2);
        return answer;
    }

    /** Reads the records from an offset on; waits up to `waitMs` for the first one. */
    async read(topic: Topic, from: number, waitMs: number): Promise<ReadAnswer> {
        await waitFor(this.clock, this.faults.answerMs);
        if (this.faults.isDown || this.faults.silentTopics.has(topic)) {
            await waitFor(this.clock, this.faults.isDown ? waitMs : waitMs + READ_TIMEOUT_MS);
            return { outcome: ReadOutcome.Failed, records: [], next: from };
        }
        if (this.faults.refusedTopics.has(topic)) {
            return { outcome: ReadOutcome.Failed, records: [], next: from };
        }
        const state = this.getTopicState(topic);
        if (state.records.length <= from && waitMs > 0) {
            await this.waitForRecord(state, waitMs);
        }
        const records = state.records.slice(from);
        return { outcome: ReadOutcome.Read, records, next: from + records.length };
    }

    /** Reads a page of the newest record of each key, ordered by key. */
    async readNewest(
        topic: Topic,
        afterKey: string | undefined,
        { timeoutMs, onStart }: PageOptions = { timeoutMs: PAGE_TIMEOUT_MS },
    ): Promise<NewestRecordsPage> {
        const { answerMs } = this.faults;
        const isSilent = this.faults.silentTopics.has(topic);
        await waitFor(this.clock, isSilent ? timeoutMs : Math.min(answerMs, timeoutMs));
        if (isSilent || this.faults.refusedTopics.has(topic) || this.faults.isDown || answerMs > timeoutMs) {
            return { succeeded: false, records: [], hasMore: false, end: 0 };
        }
        onStart?.();
        const state = this.getTopicState(topic);
        const newest = new Map(state.records.map(record => [record.key, record]));
        const liveKeys = [...newest.keys()].filter(key => newest.get(key)?.value !== undefined).sort();
        const remainingKeys = liveKeys.filter(key => afterKey === undefined || key > afterKey);
        const records = remainingKeys.slice(0, this.pageRecords).flatMap(key => newest.get(key) ?? []);
        return {
            succeeded: true,
            records,
            hasMore: remainingKeys.length > this.pageRecords,
            end: state.records.length,
        };
    }

    private applyAppend(call: AppendCall): AppendAnswer {
        const state = this.getTopicState(call.topic);
        const end = state.records.length;
        const { maxRecordBytes, maxAppendBytes } = emulatedStoreLimits;
        const sizes = call.records.map(({ key, value }) => 1 + key.length + (value?.length ?? 0));
        const totalBytes = sizes.reduce((sum, size) => sum + size + 4, 0);
        if (Math.max(0, ...sizes) > maxRecordBytes || totalBytes > maxAppendBytes) {
            return { outcome: AppendOutcome.TooLarge, offset: 0, end };
        }
        if (call.at !== undefined && call.at !== end) {
            return { outcome: AppendOutcome.ConditionFailed, offset: 0, end };
        }
        if (call.writer !== undefined) {
            const { epoch, sequence } = call.writer;
            if (epoch < state.epoch) {
                return { outcome: AppendOutcome.Fenced, offset: 0, end };
            }
            if (epoch === state.epoch && sequence === state.sequence && state.lastAnswer !== undefined) {
                return state.lastAnswer;
            }
            if (epoch === state.epoch && call.records.length > 0 && sequence !== state.sequence + 1) {
                return { outcome: AppendOutcome.SequenceMismatch, offset: 0, end };
            }
            const isEpochChange = call.records.length === 0;
            state.epoch = epoch;
            state.sequence = isEpochChange ? sequence - 1 : sequence;
        }
        call.records.forEach((record, index) => state.records.push({ ...record, offset: end + index }));
        const answer = { outcome: AppendOutcome.Appended, offset: end, end: end + call.records.length };
        state.lastAnswer = call.writer === undefined || call.records.length === 0 ? undefined : answer;
        state.waiters.forEach(wake => wake());
        return answer;
    }

    private async waitForTimeout(timeoutMs: number): Promise<AppendAnswer> {
        await waitFor(this.clock, timeoutMs);
        return { outcome: AppendOutcome.Unknown, offset: 0, end: 0 };
    }

    private waitForRecord(state: TopicState, waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                state.waiters.delete(wake);
                cancel();
                resolve();
            };
            const cancel = this.clock.schedule(waitMs, wake);
            state.waiters.add(wake);
        });
    }

    private getTopicState(topic: Topic): TopicState {
        let state = this.topics.get(topic);
        if (state === undefined) {
            state = { records: [], epoch: -1, sequence: -1, lastAnswer: undefined, waiters: new Set() };
            this.topics.set(topic, state);
        }
        return state;
    }
}
