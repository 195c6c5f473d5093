import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import type { StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, systemClock, Topic } from "@sardinestage/describe-ports";
import { emulatedStoreLimits, MemoryStore, VirtualClock } from "@sardinestage/emulate-platform";
import { silentLogger } from "@sardinestage/log-events";
import type { CoordinatorReply } from "./coordinatorReply.js";
import { RecordAppender } from "./recordAppender.js";
import { SubmitOutcome } from "./submitOutcome.js";

/** Timeout of a record on the system clock, in milliseconds. It can be short: the fake store answers immediately. */
const SHORT_TIMEOUT_MS = 300;
const record = { key: "job", value: new Uint8Array([1]) };

/** Creates an appender whose store and coordinator give the same answer to every call. */
function createAppender(stored: AppendOutcome, relayed: CoordinatorReply | undefined): RecordAppender {
    const store: StorePort = {
        append: () => Promise.resolve({ outcome: stored, offset: 0, end: 0 }),
        read: () => Promise.reject(new Error("The topic must not be read from an offset in this test.")),
        readNewest: () => Promise.resolve({ succeeded: true, records: [], hasMore: false, end: 0 }),
    };
    return new RecordAppender({
        limits: emulatedStoreLimits,
        store,
        coordinatorClient: { call: () => Promise.resolve(relayed) },
        clock: systemClock,
        logger: silentLogger,
        metrics: new Metrics(),
    });
}

describe("RecordAppender", () => {
    describe("when the store appends the record", () => {
        it("reports the record as accepted", async () => {
            expect(await createAppender(AppendOutcome.Appended, undefined).append(record)).toBe(SubmitOutcome.Accepted);
        });
    });

    describe("when the store refuses this VM", () => {
        it("accepts a record that the coordinator appended", async () => {
            const appender = createAppender(AppendOutcome.Refused, { outcome: AppendOutcome.Appended });
            expect(await appender.append(record)).toBe(SubmitOutcome.Accepted);
        });

        it("refuses a record that wasn't sent to the coordinator", async () => {
            const appender = createAppender(AppendOutcome.Refused, { isUnsent: true });
            expect(await appender.append(record)).toBe(SubmitOutcome.Refused);
        });

        it("refuses a record that the store refused from the coordinator too", async () => {
            const appender = createAppender(AppendOutcome.Refused, { outcome: AppendOutcome.Refused });
            expect(await appender.append(record)).toBe(SubmitOutcome.Refused);
        });

        it("reports an unknown outcome if a relaying peer got no answer", async () => {
            const appender = createAppender(AppendOutcome.Refused, { isUnsure: true });
            expect(await appender.append(record, SHORT_TIMEOUT_MS)).toBe(SubmitOutcome.Unknown);
        });

        it("reports an unknown outcome if the coordinator didn't answer", async () => {
            const appender = createAppender(AppendOutcome.Refused, undefined);
            expect(await appender.append(record, SHORT_TIMEOUT_MS)).toBe(SubmitOutcome.Unknown);
        });
    });

    describe("when the store stops answering and callers go on submitting", () => {
        it("keeps only the first waiting, and refuses the others unstored until the store answers again", async () => {
            const clock = new VirtualClock();
            const store = new MemoryStore(clock, () => 0.5);
            const coordinatorClient = { call: () => Promise.resolve({ outcome: AppendOutcome.Refused }) };
            const appender = new RecordAppender({
                limits: emulatedStoreLimits,
                store,
                coordinatorClient,
                clock,
                logger: silentLogger,
                metrics: new Metrics(),
            });
            const outcomes: { outcome: SubmitOutcome; tookMs: number }[] = [];
            const submit = (index: number) => {
                const sentAtMs = clock.getNow();
                void appender.append({ key: `job${index}`, value: new Uint8Array([1]) })
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
        it("soon sends the record again", async () => {
            const clock = new VirtualClock();
            const draws = [0.1, 0.9];
            const store = new MemoryStore(clock, () => draws.shift() ?? 0.9);
            store.faults.lostAnswerShare = 0.5;
            const coordinatorClient = { call: () => Promise.resolve({ isUnsent: true }) };
            const appender = new RecordAppender({
                limits: emulatedStoreLimits,
                store,
                coordinatorClient,
                clock,
                logger: silentLogger,
                metrics: new Metrics(),
            });
            let outcome: SubmitOutcome | undefined;
            void appender.append(record).then(settled => outcome = settled);
            await clock.runFor(250);
            expect(outcome).toBe(SubmitOutcome.Accepted);
        });

        it("doesn't delay later records until the lost answer's timeout", async () => {
            const clock = new VirtualClock();
            const draws = [0.1];
            const store = new MemoryStore(clock, () => draws.shift() ?? 0.9);
            store.faults.lostAnswerShare = 0.5;
            const coordinatorClient = { call: () => Promise.resolve({ isUnsent: true }) };
            const appender = new RecordAppender({
                limits: emulatedStoreLimits,
                store,
                coordinatorClient,
                clock,
                logger: silentLogger,
                metrics: new Metrics(),
            });
            const settled: string[] = [];
            void appender.append({ key: "first", value: new Uint8Array([1]) }).then(() => settled.push("first"));
            await clock.runFor(5);
            void appender.append({ key: "second", value: new Uint8Array([1]) }).then(() => settled.push("second"));
            await clock.runFor(60);
            expect(settled).toEqual(["second"]);
            await clock.runFor(200);
            expect(settled).toEqual(["second", "first"]);
        });

        it("reports an unknown outcome even if the second attempt is refused", async () => {
            const answers = [AppendOutcome.Unknown, AppendOutcome.Refused];
            const store: StorePort = {
                append: () => Promise.resolve({ outcome: answers.shift() ?? AppendOutcome.Refused, offset: 0, end: 0 }),
                read: () => Promise.reject(new Error("The topic must not be read from an offset in this test.")),
                readNewest: () => Promise.resolve({ succeeded: true, records: [], hasMore: false, end: 0 }),
            };
            const coordinatorClient = { call: () => Promise.resolve({ isUnsent: true }) };
            const appender = new RecordAppender({
                limits: emulatedStoreLimits,
                store,
                coordinatorClient,
                clock: systemClock,
                logger: silentLogger,
                metrics: new Metrics(),
            });
            expect(await appender.append(record, SHORT_TIMEOUT_MS)).toBe(SubmitOutcome.Unknown);
        });
    });

    describe("when the store doesn't answer this VM", () => {
        it("reports an unknown outcome even if the store refuses the coordinator", async () => {
            const appender = createAppender(AppendOutcome.Unknown, { outcome: AppendOutcome.Refused });
            expect(await appender.append(record, SHORT_TIMEOUT_MS)).toBe(SubmitOutcome.Unknown);
        });
    });

    describe("when the process is about to exit", () => {
        // Guards against a refusal of a record that may be in the store, and against records that are sent after a refusal.
        it("refuses records that were never sent, and reports an unknown outcome of the others", async () => {
            const clock = new VirtualClock();
            const sentKeys: string[] = [];
            const store: StorePort = {
                append: ({ records }) => {
                    sentKeys.push(...records.map(({ key }) => key));
                    return new Promise(() => undefined);
                },
                read: () => new Promise(() => undefined),
                readNewest: () => new Promise(() => undefined),
            };
            const appender = new RecordAppender({
                limits: emulatedStoreLimits,
                store,
                coordinatorClient: { call: () => new Promise(() => undefined) },
                clock,
                logger: silentLogger,
                metrics: new Metrics(),
            });
            const outcomes: SubmitOutcome[] = [];
            const submit = (key: string, index: number) =>
                void appender.append({ key, value: new Uint8Array([1]) }).then(outcome => outcomes[index] = outcome);
            // The first is sent; the others collect for the next batch, one of them with the first one's key.
            submit("sent", 0);
            await clock.runFor(1);
            submit("unsent", 1);
            submit("sent", 2);
            appender.expirePending();
            await clock.runFor(5000);
            expect(outcomes).toEqual([SubmitOutcome.Unknown, SubmitOutcome.Refused, SubmitOutcome.Unknown]);
            expect(sentKeys).toEqual(["sent"]);
        });
    });

    describe("when the store answers no append, and the coordinator doesn't answer", () => {
        const TIMEOUT_MS = 2700;

        function createUnansweredHarness() {
            const clock = new VirtualClock();
            const store = new MemoryStore(clock, () => 0);
            let calls = 0;
            const call = (_: unknown, timeoutMs: number): Promise<undefined> => {
                calls++;
                return new Promise(resolve => clock.schedule(timeoutMs, () => resolve(undefined)));
            };
            const appender = new RecordAppender({
                limits: emulatedStoreLimits,
                store,
                coordinatorClient: { call },
                clock,
                logger: silentLogger,
                metrics: new Metrics(),
            });
            const outcomes = new Map<string, { outcome: SubmitOutcome; tookMs: number }>();
            const submit = (key: string) => {
                const sentAtMs = clock.getNow();
                void appender.append({ key, value: new Uint8Array([1]) }, TIMEOUT_MS)
                    .then(outcome => outcomes.set(key, { outcome, tookMs: clock.getNow() - sentAtMs }));
            };
            return { clock, store, outcomes, submit, countCalls: () => calls };
        }

        it("accepts records that it finds in the store, with and without a known end offset", async () => {
            const { clock, store, outcomes, submit } = createUnansweredHarness();
            store.faults.lostAnswerShare = 1;
            submit("first");
            await clock.runFor(1500);
            store.faults.lostAnswerShare = 0;
            submit("second");
            await clock.runFor(100);
            store.faults.lostAnswerShare = 1;
            submit("third");
            await clock.runFor(1500);
            expect([...outcomes.values()].map(({ outcome }) => outcome)).toEqual(Array(3).fill(SubmitOutcome.Accepted));
            expect(Math.max(...[...outcomes.values()].map(({ tookMs }) => tookMs))).toBeLessThan(1500);
        });

        it("accepts a record that is written late but within the caller's timeout", async () => {
            const { clock, store, outcomes, submit } = createUnansweredHarness();
            store.faults.lostAnswerShare = 1;
            store.faults.applyDelayMs = 1800;
            submit("job");
            await clock.runFor(TIMEOUT_MS);
            expect(outcomes.get("job")?.outcome).toBe(SubmitOutcome.Accepted);
        });

        it("reports an unknown outcome within the caller's timeout if the record is written even later", async () => {
            const { clock, store, outcomes, submit } = createUnansweredHarness();
            store.faults.lostAnswerShare = 1;
            store.faults.applyDelayMs = 5000;
            submit("job");
            await clock.runFor(TIMEOUT_MS);
            expect(outcomes.get("job")?.outcome).toBe(SubmitOutcome.Unknown);
            await clock.runFor(5000);
            const page = store.readNewest(Topic.Jobs, undefined);
            await clock.runFor(50);
            expect((await page).records.map(({ key }) => key)).toEqual(["job"]);
        });

        it("refuses records immediately and unstored once the coordinator has missed several calls", async () => {
            const { clock, store, outcomes, submit, countCalls } = createUnansweredHarness();
            store.faults.isDown = true;
            for (let index = 0; index < 4; index++) {
                submit(`early${index}`);
                await clock.runFor(1200);
            }
            const before = countCalls();
            for (let index = 0; index < 20; index++) {
                submit(`late${index}`);
                await clock.runFor(100);
            }
            await clock.runFor(1200);
            const late = [...outcomes].filter(([key]) => key.startsWith("late")).map(([, taken]) => taken);
            const refused = late.filter(({ outcome }) => outcome === SubmitOutcome.Refused);
            expect(countCalls() - before).toBeLessThanOrEqual(3);
            expect(refused.length).toBeGreaterThanOrEqual(17);
            expect(Math.max(...refused.map(({ tookMs }) => tookMs))).toBeLessThan(50);
            store.faults.isDown = false;
            await clock.runFor(5000);
            const page = store.readNewest(Topic.Jobs, undefined);
            await clock.runFor(50);
            expect((await page).records).toEqual([]);
        });
    });
});
