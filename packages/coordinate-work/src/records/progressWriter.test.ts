import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import type { StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, Topic } from "@sardinestage/describe-ports";
import { emulatedStoreLimits, MemoryStore, VirtualClock } from "@sardinestage/emulate-platform";
import { silentLogger } from "@sardinestage/log-events";
import type { CoordinatorParts } from "../coordinatorParts.js";
import { ProgressWriter } from "./progressWriter.js";

/**
 * Creates a writer whose store refuses appends until it is restored.
 *
 * @param renewalAgeMs Time since the last renewal of the term, in milliseconds.
 * @param refusal Outcome of the appends until then.
 */
function createWriter(renewalAgeMs: number, refusal = AppendOutcome.Refused) {
    const clock = new VirtualClock();
    let outcome = refusal;
    let appends = 0;
    const store = {
        append: () => {
            appends++;
            // Ends a loop without pauses, which would never let the clock go on.
            outcome = appends > 1000 ? AppendOutcome.Appended : outcome;
            return Promise.resolve({ outcome, offset: 0, end: 0 });
        },
    } as unknown as StorePort;
    const restoreStore = () => outcome = AppendOutcome.Appended;
    const writer = new ProgressWriter({
        clock,
        store,
        term: 1,
        rules: { storeLimits: emulatedStoreLimits },
        getTermRenewalAge: () => renewalAgeMs,
        getLoopDelay: () => 0,
        onTermLost: () => undefined,
        logger: silentLogger,
        metrics: new Metrics(),
    } as unknown as CoordinatorParts, () => undefined);
    let starts = 0;
    writer.schedule("job", () => Uint8Array.of(1));
    writer.runWhenRecorded(() => starts++, true);
    return { clock, writer, restoreStore, getStarts: () => starts, getAppends: () => appends };
}

describe("ProgressWriter", () => {
    describe("when the store refuses appends for long", () => {
        it("starts nothing unrecorded while the term is renewed, since a successor would start it again", async () => {
            const { clock, writer, getStarts } = createWriter(400);
            await clock.runFor(9000);
            expect(getStarts()).toBe(0);
            writer.close();
        });

        it("starts work unrecorded once the term isn't renewed either", async () => {
            const { clock, writer, getStarts } = createWriter(6000);
            await clock.runFor(9000);
            expect(getStarts()).toBe(1);
            writer.close();
        });

        it("has unrecorded starts until their records are written", async () => {
            const { clock, writer, restoreStore } = createWriter(6000);
            await clock.runFor(4000);
            expect(writer.hasUnrecordedStarts).toBe(false);
            await clock.runFor(2000);
            expect(writer.hasUnrecordedStarts).toBe(true);
            restoreStore();
            await clock.runFor(1000);
            expect(writer.hasUnrecordedStarts).toBe(false);
        });
    });

    // Guards against a loop without pauses, which stops all else in the process.
    describe("when the store gives an answer at once that says nothing of the append", () => {
        it("repeats the append after a pause, until it succeeds", async () => {
            const { clock, writer, restoreStore, getAppends, getStarts } = createWriter(0, AppendOutcome.Unknown);
            await clock.runFor(1000);
            expect(getAppends()).toBeGreaterThan(5);
            expect(getAppends()).toBeLessThan(12);
            restoreStore();
            await clock.runFor(200);
            expect(getStarts()).toBe(1);
            writer.close();
        });
    });

    // Guards against a record that the store never takes and that is appended again and again, while nothing else is.
    describe("when the store will never take one of the records", () => {
        async function writeBeside(key: string, encode: () => Uint8Array) {
            const clock = new VirtualClock();
            const store = new MemoryStore(clock, () => 0.5);
            const refused: string[] = [];
            const writer = new ProgressWriter({
                clock,
                store,
                term: 1,
                rules: { storeLimits: emulatedStoreLimits },
                getTermRenewalAge: () => 0,
                getLoopDelay: () => 0,
                onTermLost: () => undefined,
                logger: silentLogger,
                metrics: new Metrics(),
            } as unknown as CoordinatorParts, refusedKey => refused.push(refusedKey));
            let recorded = 0;
            writer.schedule("before", () => Uint8Array.of(1));
            writer.schedule(key, encode);
            writer.schedule("after", () => Uint8Array.of(1));
            writer.runWhenRecorded(() => recorded++, false);
            await clock.runFor(500);
            writer.schedule("later", () => Uint8Array.of(1));
            writer.runWhenRecorded(() => recorded++, false);
            await clock.runFor(500);
            const page = store.readNewest(Topic.Progress, undefined);
            await clock.runFor(50);
            writer.close();
            return { refused, recorded, keys: (await page).records.map(record => record.key) };
        }

        it("leaves out the one that is too large, and writes all others", async () => {
            const result = await writeBeside("large", () => new Uint8Array(emulatedStoreLimits.maxRecordBytes));
            expect(result).toEqual({ refused: ["large"], recorded: 2, keys: ["after", "before", "later"] });
        });

        it("leaves out the one that can't be encoded, and writes all others", async () => {
            const result = await writeBeside("odd", () => {
                throw new RangeError("The value is nested too deeply.");
            });
            expect(result).toEqual({ refused: ["odd"], recorded: 2, keys: ["after", "before", "later"] });
        });
    });

    describe("when a record can't be encoded and another of its key is scheduled for that reason", () => {
        it("writes the other one", async () => {
            const clock = new VirtualClock();
            const store = new MemoryStore(clock, () => 0.5);
            const writer: ProgressWriter = new ProgressWriter({
                clock,
                store,
                term: 1,
                rules: { storeLimits: emulatedStoreLimits },
                getTermRenewalAge: () => 0,
                getLoopDelay: () => 0,
                onTermLost: () => undefined,
                logger: silentLogger,
                metrics: new Metrics(),
            } as unknown as CoordinatorParts, key => writer.schedule(key, () => Uint8Array.of(1)));
            writer.schedule("job", () => {
                throw new RangeError("The value is nested too deeply.");
            });
            await clock.runFor(500);
            const page = store.readNewest(Topic.Progress, undefined);
            await clock.runFor(50);
            writer.close();
            expect((await page).records.map(({ key }) => key)).toEqual(["job"]);
        });
    });

    describe("when many records are to be written", () => {
        it("appends no more at once than the store takes", async () => {
            const clock = new VirtualClock();
            const store = new MemoryStore(clock, () => 0.5);
            const writer = new ProgressWriter({
                clock,
                store,
                term: 1,
                rules: { storeLimits: emulatedStoreLimits },
                getTermRenewalAge: () => 0,
                getLoopDelay: () => 0,
                onTermLost: () => undefined,
                logger: silentLogger,
                metrics: new Metrics(),
            } as unknown as CoordinatorParts, key => expect(key).toBe("none is refused"));
            let recorded = 0;
            for (let index = 0; index < 40; index++) {
                writer.schedule(`job${index}`, () => new Uint8Array(emulatedStoreLimits.maxRecordBytes - 100));
            }
            writer.runWhenRecorded(() => recorded++, false);
            await clock.runFor(2000);
            expect(recorded).toBe(1);
            writer.close();
        });
    });
});
