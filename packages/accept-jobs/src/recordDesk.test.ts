import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import type { StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, systemClock, Topic } from "@sardinestage/describe-ports";
import { MemoryStore, VirtualClock } from "@sardinestage/emulate-platform";
import { silentLogger } from "@sardinestage/log-events";
import type { CoordinatorReply } from "./coordinatorReply.js";
import { RecordDesk } from "./recordDesk.js";
import { SubmitOutcome } from "./submitOutcome.js";

const record = { key: "job", value: new Uint8Array([1]) };

/** A desk whose store and coordinator give the same answer to every call. */
function createDesk(stored: AppendOutcome, relayed: CoordinatorReply | undefined): RecordDesk {
    const store: StorePort = {
        append: () => Promise.resolve({ outcome: stored, offset: 0, end: 0 }),
        read: () => Promise.reject(new Error("The desk reads no tail.")),
        readNewest: () => Promise.resolve({ succeeded: true, records: [], hasMore: false, end: 0 }),
    };
    return new RecordDesk({
        store,
        line: { call: () => Promise.resolve(relayed) },
        clock: systemClock,
        logger: silentLogger,
        metrics: new Metrics(),
    });
}

describe("RecordDesk", () => {
    describe("when the store takes the record", () => {
        it("says that it is accepted", async () => {
            expect(await createDesk(AppendOutcome.Appended, undefined).append(record)).toBe(SubmitOutcome.Accepted);
        });
    });

    describe("when the store refuses this VM", () => {
        it("accepts what the coordinator appended", async () => {
            const desk = createDesk(AppendOutcome.Refused, { outcome: AppendOutcome.Appended });
            expect(await desk.append(record)).toBe(SubmitOutcome.Accepted);
        });

        it("refuses when nothing was sent to the coordinator", async () => {
            const desk = createDesk(AppendOutcome.Refused, { isUnsent: true });
            expect(await desk.append(record)).toBe(SubmitOutcome.Refused);
        });

        it("refuses when the coordinator's store refused too", async () => {
            const desk = createDesk(AppendOutcome.Refused, { outcome: AppendOutcome.Refused });
            expect(await desk.append(record)).toBe(SubmitOutcome.Refused);
        });

        it("doesn't say that nothing was stored when a relaying peer got no answer", async () => {
            const desk = createDesk(AppendOutcome.Refused, { isUnsure: true });
            expect(await desk.append(record)).toBe(SubmitOutcome.Unknown);
        });

        it("doesn't say that nothing was stored when the coordinator didn't answer", async () => {
            const desk = createDesk(AppendOutcome.Refused, undefined);
            expect(await desk.append(record)).toBe(SubmitOutcome.Unknown);
        });
    });

    describe("when the store falls silent and callers go on submitting", () => {
        it("keeps only the first waiting, and refuses the others at once and truly until it answers again", async () => {
            const clock = new VirtualClock();
            const store = new MemoryStore(clock, () => 0.5);
            const line = { call: () => Promise.resolve({ outcome: AppendOutcome.Refused }) };
            const desk = new RecordDesk({ store, line, clock, logger: silentLogger, metrics: new Metrics() });
            const outcomes: { outcome: SubmitOutcome; tookMs: number }[] = [];
            const submit = (index: number) => {
                const sentAtMs = clock.getNow();
                void desk.append({ key: `job${index}`, value: new Uint8Array([1]) })
                    .then(outcome => outcomes.push({ outcome, tookMs: clock.getNow() - sentAtMs }));
            };
            store.faults.isDown = true;
            submit(0);
            await clock.runFor(700);
            for (let index = 1; index <= 20; index++) {
                submit(index);
                await clock.runFor(150);
            }
            expect(outcomes[0].outcome).toBe(SubmitOutcome.Unknown);
            expect(outcomes.slice(1).map(({ outcome }) => outcome)).toEqual(Array(20).fill(SubmitOutcome.Refused));
            expect(Math.max(...outcomes.slice(1).map(({ tookMs }) => tookMs))).toBeLessThan(50);
            store.faults.isDown = false;
            await clock.runFor(1500);
            submit(21);
            await clock.runFor(100);
            expect(outcomes.at(-1)?.outcome).toBe(SubmitOutcome.Accepted);
            const page = store.readNewest(Topic.Jobs, undefined);
            await clock.runFor(50);
            expect((await page).records.map(({ key }) => key)).toEqual(["job21"]);
        });
    });

    describe("when the store loses an answer", () => {
        it("sends the record again soon", async () => {
            const clock = new VirtualClock();
            const draws = [0.1, 0.9];
            const store = new MemoryStore(clock, () => draws.shift() ?? 0.9);
            store.faults.lostShare = 0.5;
            const line = { call: () => Promise.resolve({ isUnsent: true }) };
            const desk = new RecordDesk({ store, line, clock, logger: silentLogger, metrics: new Metrics() });
            let outcome: SubmitOutcome | undefined;
            void desk.append(record).then(settled => outcome = settled);
            await clock.runFor(250);
            expect(outcome).toBe(SubmitOutcome.Accepted);
        });

        it("lets those that come after wait for no lost answer but their own", async () => {
            const clock = new VirtualClock();
            const draws = [0.1];
            const store = new MemoryStore(clock, () => draws.shift() ?? 0.9);
            store.faults.lostShare = 0.5;
            const line = { call: () => Promise.resolve({ isUnsent: true }) };
            const desk = new RecordDesk({ store, line, clock, logger: silentLogger, metrics: new Metrics() });
            const settled: string[] = [];
            void desk.append({ key: "first", value: new Uint8Array([1]) }).then(() => settled.push("first"));
            await clock.runFor(5);
            void desk.append({ key: "second", value: new Uint8Array([1]) }).then(() => settled.push("second"));
            await clock.runFor(60);
            expect(settled).toEqual(["second"]);
            await clock.runFor(200);
            expect(settled).toEqual(["second", "first"]);
        });

        it("doesn't refuse although the second try was refused", async () => {
            const answers = [AppendOutcome.Unknown, AppendOutcome.Refused];
            const store: StorePort = {
                append: () => Promise.resolve({ outcome: answers.shift() ?? AppendOutcome.Refused, offset: 0, end: 0 }),
                read: () => Promise.reject(new Error("The desk reads no tail.")),
                readNewest: () => Promise.resolve({ succeeded: true, records: [], hasMore: false, end: 0 }),
            };
            const line = { call: () => Promise.resolve({ isUnsent: true }) };
            const desk = new RecordDesk({
                store,
                line,
                clock: systemClock,
                logger: silentLogger,
                metrics: new Metrics(),
            });
            expect(await desk.append(record)).toBe(SubmitOutcome.Unknown);
        });
    });

    describe("when the store doesn't answer this VM", () => {
        it("doesn't refuse although the coordinator's store refused", async () => {
            const desk = createDesk(AppendOutcome.Unknown, { outcome: AppendOutcome.Refused });
            expect(await desk.append(record)).toBe(SubmitOutcome.Unknown);
        });
    });
});
