import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import type { Clock, StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, systemClock } from "@sardinestage/describe-ports";
import { emulatedStoreLimits, MemoryStore, VirtualClock } from "@sardinestage/emulate-platform";
import { silentLogger } from "@sardinestage/log-events";
import { RecordAppender } from "./recordAppender.js";
import { SubmitOutcome } from "./submitOutcome.js";

const record = { key: "job", value: new Uint8Array([1]) };

/** Creates an appender that has no coordinator to fall back to. */
function createAppender(store: StorePort, clock: Clock): RecordAppender {
    return new RecordAppender({
        limits: emulatedStoreLimits,
        store,
        coordinatorClient: { call: () => Promise.resolve(undefined) },
        clock,
        logger: silentLogger,
        metrics: new Metrics(),
    });
}

describe("RecordAppender", () => {
    describe("when a record is larger than the store takes", () => {
        it("refuses that record for good and at once, and accepts those beside it", async () => {
            const clock = new VirtualClock();
            const store = new MemoryStore(clock, () => 0.5);
            const appender = createAppender(store, clock);
            const tooLarge = { key: "large", value: new Uint8Array(emulatedStoreLimits.maxRecordBytes) };
            const outcomes = Promise.all(
                [record, tooLarge, { ...record, key: "other" }].map(each => appender.append(each)),
            );
            await clock.runFor(50);
            expect(await outcomes).toEqual([SubmitOutcome.Accepted, SubmitOutcome.Invalid, SubmitOutcome.Accepted]);
        });

        it("sends no more in one append than the store takes", async () => {
            const clock = new VirtualClock();
            const store = new MemoryStore(clock, () => 0.5);
            const appender = createAppender(store, clock);
            const value = new Uint8Array(emulatedStoreLimits.maxRecordBytes - 100);
            const outcomes = Promise.all(
                Array.from({ length: 30 }, (_unused, index) => appender.append({ key: `job${index}`, value })),
            );
            await clock.runFor(500);
            expect(new Set(await outcomes)).toEqual(new Set([SubmitOutcome.Accepted]));
        });
    });

    describe("when the store never takes one of the records", () => {
        it("refuses that one alone", async () => {
            const store: StorePort = {
                append: ({ records }) => {
                    const isRefused = records.some(({ key }) => key === "odd");
                    const outcome = isRefused ? AppendOutcome.Malformed : AppendOutcome.Appended;
                    return Promise.resolve({ outcome, offset: 0, end: 0 });
                },
                read: () => Promise.reject(new Error("unused")),
                readNewest: () => Promise.reject(new Error("The store isn't away.")),
            };
            const appender = createAppender(store, systemClock);
            const first = appender.append({ ...record, key: "first" });
            const outcomes = ["other", "odd", "another"].map(key => appender.append({ ...record, key }));
            expect(await first).toBe(SubmitOutcome.Accepted);
            expect(await Promise.all(outcomes)).toEqual([
                SubmitOutcome.Accepted,
                SubmitOutcome.Invalid,
                SubmitOutcome.Accepted,
            ]);
        });
    });
});
