import type { LogRecord } from "@sardinestage/call-platform";
import type { JsonAnswer } from "./jsonAnswer.js";
import { LogFault } from "./logFault.js";

interface Stream {
    oldest: number;
    records: LogRecord[];
    waiters: (() => void)[];
}

/** Limits of the log. */
interface StandInLogOptions {
    readonly appendsPerSecond: number;
    /** Records older than this are dropped, in milliseconds. */
    readonly retentionMs: number;
}

const PAGE_RECORDS = 1000;

/** The platform's append-only log with offsets, in memory, with faults on demand. */
export class StandInLog {
    /** What is wrong with it now. */
    fault = LogFault.None;
    /** Added to each answer, in milliseconds. */
    delayMs = 0;
    /** Append calls that took effect. */
    appendCalls = 0;
    private readonly streams = new Map<string, Stream>();
    private tokens: number;
    private tokensAtMs = performance.now();

    constructor(private readonly options: StandInLogOptions) {
        this.tokens = options.appendsPerSecond;
    }

    /** Answers one HTTP call of the log. */
    async handleCall(path: string, query: URLSearchParams, body: unknown): Promise<JsonAnswer> {
        await this.waitDelay();
        if (this.fault === LogFault.Out) {
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

    /** The records of a stream that retention has left. */
    listRecords(name: string): readonly LogRecord[] {
        return this.getStream(name).records;
    }

    /** Drops the oldest records, as retention does. */
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

    private async answerRead(name: string, query: URLSearchParams): Promise<JsonAnswer> {
        const stream = this.getStream(name);
        const from = Number(query.get("from"));
        if (from >= stream.oldest + stream.records.length) {
            await this.waitForAppend(stream, Number(query.get("waitMs")));
        }
        if (this.fault === LogFault.Out) {
            return { status: 503, body: { reason: "out" } };
        }
        this.expireRecords(stream);
        const first = Math.max(from, stream.oldest);
        const records = stream.records.slice(first - stream.oldest, first - stream.oldest + PAGE_RECORDS);
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

    private takeToken(): boolean {
        const nowMs = performance.now();
        const gained = (nowMs - this.tokensAtMs) / 1000 * this.options.appendsPerSecond;
        this.tokens = Math.min(this.options.appendsPerSecond, this.tokens + gained);
        this.tokensAtMs = nowMs;
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

    private async waitDelay(): Promise<void> {
        if (this.delayMs > 0) {
            await new Promise(resolve => setTimeout(resolve, this.delayMs));
        }
    }
}
