import type { LogRecord } from "@sardinestage/call-platform";
import type { JsonAnswer } from "./jsonAnswer.js";
import { LogFault } from "./logFault.js";

interface Stream {
    /** Offset of the oldest record that is kept. */
    oldest: number;
    records: LogRecord[];
    /** Resolve the reads that wait for the next append. */
    waiters: (() => void)[];
}

/** Limits of the log; appends above the rate are refused with status 429. */
interface StandInLogOptions {
    readonly appendsPerSecond: number;
    /** Age in milliseconds at which records are dropped. */
    readonly retentionMs: number;
}

const MAX_RECORDS_PER_READ = 1000;

/** The platform's append-only log, kept in memory, with faults that tests can switch on. */
export class StandInLog {
    /** The fault that is active now. */
    fault = LogFault.None;
    /** Delay before each call is handled, in milliseconds. */
    delayMs = 0;
    /** Number of append calls that took effect. */
    appendCalls = 0;
    private readonly streams = new Map<string, Stream>();
    private tokens: number;
    private tokensUpdatedAtMs = performance.now();

    constructor(private readonly options: StandInLogOptions) {
        this.tokens = options.appendsPerSecond;
    }

    /** Answers one HTTP call of the log. */
    async handleCall(path: string, query: URLSearchParams, body: unknown): Promise<JsonAnswer> {
        await this.applyDelay();
        if (this.fault === LogFault.Unavailable) {
            return { status: 503, body: { reason: "out" } };
        }
        if (this.fault === LogFault.Silent) {
            return undefined;
        }
        const name = /^\/streams\/([^/]+)\/records$/.exec(path)?.[1];
        if (name === undefined) {
            return { status: 404, body: {} };
        }
        return body === undefined ? this.answerRead(name, query) : this.answerAppend(name, body);
    }

    /** Lists the records of a stream that are still retained. */
    listRecords(name: string): readonly LogRecord[] {
        return this.getStream(name).records;
    }

    /** Drops all records below an offset, as if they had passed the retention period. */
    dropRecordsBefore(name: string, offset: number): void {
        const stream = this.getStream(name);
        stream.records = stream.records.filter(record => record.offset >= offset);
        stream.oldest = Math.max(stream.oldest, offset);
    }

    private answerAppend(name: string, body: unknown): JsonAnswer {
        if (!this.takeToken()) {
            return { status: 429, body: { reason: "rate" } };
        }
        const stream = this.getStream(name);
        this.expireRecords(stream);
        for (const { id, data } of (body as { records: { id: string; data: unknown }[] }).records) {
            const offset = stream.oldest + stream.records.length;
            stream.records.push({ offset, id, appendedAtMs: Date.now(), data });
        }
        this.appendCalls++;
        const waiters = stream.waiters;
        stream.waiters = [];
        waiters.forEach(wake => wake());
        return this.fault === LogFault.AnswersLost ? undefined : { status: 200, body: {} };
    }

    /** Answers a read; at the end of the stream, waits up to `waitMs` for an append first (long polling). */
    private async answerRead(name: string, query: URLSearchParams): Promise<JsonAnswer> {
        const stream = this.getStream(name);
        const from = Number(query.get("from"));
        if (from >= stream.oldest + stream.records.length) {
            await this.waitForAppend(stream, Number(query.get("waitMs")));
        }
        if (this.fault === LogFault.Unavailable) {
            return { status: 503, body: { reason: "out" } };
        }
        this.expireRecords(stream);
        const first = Math.max(from, stream.oldest);
        const records = stream.records.slice(first - stream.oldest, first - stream.oldest + MAX_RECORDS_PER_READ);
        const next = first + records.length;
        const atHead = next >= stream.oldest + stream.records.length;
        return { status: 200, body: { records, next, oldest: stream.oldest, atHead } };
    }

    private waitForAppend(stream: Stream, waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const timer = setTimeout(resolve, waitMs);
            stream.waiters.push(() => {
                clearTimeout(timer);
                resolve();
            });
        });
    }

    private expireRecords(stream: Stream): void {
        const limit = Date.now() - this.options.retentionMs;
        let dropped = 0;
        while (dropped < stream.records.length && stream.records[dropped].appendedAtMs < limit) {
            dropped++;
        }
        if (dropped > 0) {
            stream.records = stream.records.slice(dropped);
            stream.oldest += dropped;
        }
    }

    /** Takes a token from the token bucket that limits the append rate; the bucket holds one second's appends. */
    private takeToken(): boolean {
        const nowMs = performance.now();
        const gained = (nowMs - this.tokensUpdatedAtMs) / 1000 * this.options.appendsPerSecond;
        this.tokens = Math.min(this.options.appendsPerSecond, this.tokens + gained);
        this.tokensUpdatedAtMs = nowMs;
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }

    private getStream(name: string): Stream {
        const stream = this.streams.get(name) ?? { oldest: 0, records: [], waiters: [] };
        this.streams.set(name, stream);
        return stream;
    }

    private async applyDelay(): Promise<void> {
        if (this.delayMs > 0) {
            await new Promise(resolve => setTimeout(resolve, this.delayMs));
        }
    }
}
