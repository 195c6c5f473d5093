import { describe, expect, it } from "@jest/globals";
import type { LogPage, LogPort, NewLogRecord } from "@sardinestage/call-platform";
import { ErrorKind, RunEffect, StageError } from "@sardinestage/errors";
import type { Result } from "ts-results";
import tsResults from "ts-results";
import { LogAppender } from "./logAppender.js";
import { LogFollower } from "./logFollower.js";

const { Err, Ok } = tsResults;

function createLogUnavailableError(): StageError {
    return new StageError(
        ErrorKind.LogUnavailable,
        "The log is unavailable.",
        "Try again later.",
        RunEffect.MayHaveRun,
    );
}

/** A log in memory that loses the answers to the first appends, after or before the append takes effect. */
class FlakyLog implements LogPort {
    readonly records: NewLogRecord[] = [];
    constructor(private lostAfter: number, private lostBefore: number) {}

    async append(_stream: string, records: readonly NewLogRecord[]): Promise<Result<void, StageError>> {
        if (this.lostBefore-- > 0) {
            return Err(createLogUnavailableError());
        }
        this.records.push(...records);
        return this.lostAfter-- > 0 ? Err(createLogUnavailableError()) : Ok(undefined);
    }

    async read(_stream: string, from: number): Promise<Result<LogPage, StageError>> {
        await new Promise(resolve => setTimeout(resolve, 2));
        const records = this.records.slice(from).map((record, i) => ({ ...record, offset: from + i, appendedAtMs: 0 }));
        return Ok({ records, next: this.records.length, oldest: 0, atHead: true });
    }
}

function startAppenderAndFollower(log: LogPort, maxPending = 10): { appender: LogAppender; follower: LogFollower } {
    const now = () => performance.now();
    const handleFailure = () => {};
    const appender = new LogAppender({
        log,
        stream: "s",
        flushMs: 1,
        resendMs: 5,
        maxPending,
        maxBatch: 10,
        now,
        handleFailure,
    });
    const follower = new LogFollower({
        log,
        stream: "s",
        waitMs: 1,
        retryMs: 1,
        now,
        handleFailure,
        handleGap: () => {},
        applyRecord: record => appender.confirm(record.id),
    });
    void follower.follow();
    return { appender, follower };
}

describe("LogAppender", () => {
    describe("when the answer to an append is lost", () => {
        for (const [name, log] of [["after", new FlakyLog(2, 0)], ["before", new FlakyLog(0, 2)]] as const) {
            it(`keeps the record until it is read back, when lost ${name} the append takes effect`, async () => {
                const { appender, follower } = startAppenderAndFollower(log);
                const seen = follower.waitForRecord("a");
                appender.add({ id: "a", data: 1 }).unwrap();
                await seen;
                expect(log.records.every(record => record.id === "a")).toBe(true);
                expect(appender.getPendingCount()).toBe(0);
                follower.stop();
            });
        }
    });

    describe("when the log stays unavailable", () => {
        it("refuses a new record once the limit of pending records is reached", () => {
            const { appender, follower } = startAppenderAndFollower(new FlakyLog(0, 1e9), 1);
            appender.add({ id: "a", data: 1 }).unwrap();
            expect(appender.add({ id: "a", data: 1 }).ok).toBe(true);
            const second = appender.add({ id: "b", data: 1 });
            expect(second.err && second.val.kind).toBe(ErrorKind.TooManyPending);
            follower.stop();
            appender.stop();
        });
    });
});
