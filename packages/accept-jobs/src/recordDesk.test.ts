import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import type { StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, systemClock, Topic } from "@sardinestage/describe-ports";
import { MemoryStore, VirtualClock } from "@sardinestage/emulate-platform";
import { silentLogger } from "@sardinestage/log-events";
import type { CoordinatorReply } from "./coordinatorReply.js";
import { RecordDesk } from "./recordDesk.js";
import { SubmitOutcome } from "./submitOutcome.js";

/** How long a desk on the system's clock looks what became of a record, in milliseconds: its answers come at once. */
const SHORT_MS = 300;
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
            expect(await desk.append(record, SHORT_MS)).toBe(SubmitOutcome.Unknown);
        });

        it("doesn't say that nothing was stored when the coordinator didn't answer", async () => {
            const desk = createDesk(AppendOutcome.Refused, undefined);
            expect(await desk.append(record, SHORT_MS)).toBe(SubmitOutcome.Unknown);
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
            expect(await desk.append(record, SHORT_MS)).toBe(SubmitOutcome.Unknown);
        });
    });

    describe("when the store doesn't answer this VM", () => {
        it("doesn't refuse although the coordinator's store refused", async () => {
            const desk = createDesk(AppendOutcome.Unknown, { outcome: AppendOutcome.Refused });
            expect(await desk.append(record, SHORT_MS)).toBe(SubmitOutcome.Unknown);
        });
    });

    describe("when the store answers no append, and the coordinator doesn't answer", () => {
        const TIMEOUT_MS = 2700;

        function createSilentBed() {
            const clock = new VirtualClock();
            const store = new MemoryStore(clock, () => 0);
            let calls = 0;
            const call = (_: unknown, timeoutMs: number): Promise<undefined> => {
                calls++;
                return new Promise(resolve => clock.schedule(timeoutMs, () => resolve(undefined)));
            };
            const desk = new RecordDesk({ store, line: { call }, clock, logger: silentLogger, metrics: new Metrics() });
            const outcomes = new Map<string, { outcome: SubmitOutcome; tookMs: number }>();
            const submit = (key: string) => {
                const sentAtMs = clock.getNow();
                void desk.append({ key, value: new Uint8Array([1]) }, TIMEOUT_MS)
                    .then(outcome => outcomes.set(key, { outcome, tookMs: clock.getNow() - sentAtMs }));
            };
            return { clock, store, outcomes, submit, countCalls: () => calls };
        }

        it("accepts what it finds there, known tail or not", async () => {
            const { clock, store, outcomes, submit } = createSilentBed();
            store.faults.lostShare = 1;
            submit("first");
            await clock.runFor(1500);
            store.faults.lostShare = 0;
            submit("second");
            await clock.runFor(100);
            store.faults.lostShare = 1;
            submit("third");
            await clock.runFor(1500);
            expect([...outcomes.values()].map(({ outcome }) => outcome)).toEqual(Array(3).fill(SubmitOutcome.Accepted));
            expect(Math.max(...[...outcomes.values()].map(({ tookMs }) => tookMs))).toBeLessThan(1500);
        });

        it("accepts what is carried out late, but in the caller's time", async () => {
            const { clock, store, outcomes, submit } = createSilentBed();
            store.faults.lostShare = 1;
            store.faults.lateMs = 1800;
            submit("job");
            await clock.runFor(TIMEOUT_MS);
            expect(outcomes.get("job")?.outcome).toBe(SubmitOutcome.Accepted);
        });

        it("says that it doesn't know of what may be carried out later still, in the caller's time", async () => {
            const { clock, store, outcomes, submit } = createSilentBed();
            store.faults.lostShare = 1;
            store.faults.lateMs = 5000;
            submit("job");
            await clock.runFor(TIMEOUT_MS);
            expect(outcomes.get("job")?.outcome).toBe(SubmitOutcome.Unknown);
            await clock.runFor(5000);
            const page = store.readNewest(Topic.Jobs, undefined);
            await clock.runFor(50);
            expect((await page).records.map(({ key }) => key)).toEqual(["job"]);
        });

        it("refuses at once and truly while the store is away and the coordinator was silent several times", async () => {
            const { clock, store, outcomes, submit, countCalls } = createSilentBed();
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
