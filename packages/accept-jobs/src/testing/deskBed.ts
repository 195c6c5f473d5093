import { Metrics } from "@sardinestage/count-metrics";
import type { KeyedRecord, NewestAnswer, StorePort } from "@sardinestage/describe-ports";
import { Topic } from "@sardinestage/describe-ports";
import { MemoryStore, VirtualClock } from "@sardinestage/emulate-platform";
import { silentLogger } from "@sardinestage/log-events";
import type { CoordinatorCall } from "../coordinatorCall.js";
import type { CoordinatorReply } from "../coordinatorReply.js";
import { JobDesk } from "../jobDesk.js";
import { JobLedger } from "../jobLedger.js";
import { RecordDesk } from "../recordDesk.js";
import type { StateAnswer } from "../stateAnswer.js";
import { StateReader } from "../stateReader.js";

const KEEP_MS = 120_000;
const PATIENCE_MS = 3000;
const APPEND_TIMEOUT_MS = 1000;

/** A desk over an emulated store, with a coordinator of the test's. */
export class DeskBed {
    readonly clock = new VirtualClock();
    readonly store = new MemoryStore(this.clock, () => 0.5);
    readonly calls: CoordinatorCall[] = [];
    readonly callTimeoutsMs: number[] = [];
    /** Topics of the pages that the desk has asked for. */
    readonly pages: Topic[] = [];
    /** Pages of one topic that the desk has waited for at once, at most. */
    mostPagesUnderWay = 0;
    /** Something that happens just before the store makes a page. */
    beforePage: (pages: number) => Promise<void> = () => Promise.resolve();
    readonly desk: JobDesk;
    private readonly pagesUnderWay = new Map<Topic, number>();
    /** By default nothing answers. */
    coordinator: (call: CoordinatorCall, timeoutMs: number) => Promise<CoordinatorReply | undefined> = (_, timeoutMs) =>
        this.waitInVain(timeoutMs);

    constructor() {
        const { clock } = this;
        const logger = silentLogger;
        const line = {
            call: (call: CoordinatorCall, timeoutMs: number) => {
                this.calls.push(call);
                this.callTimeoutsMs.push(timeoutMs);
                return this.coordinator(call, timeoutMs);
            },
        };
        const store: StorePort = {
            append: call => this.store.append(call),
            read: (topic, from, waitMs) => this.store.read(topic, from, waitMs),
            readNewest: (topic, afterKey) => this.readPage(topic, afterKey),
        };
        const ledger = new JobLedger(clock, KEEP_MS);
        this.desk = new JobDesk({
            records: new RecordDesk({ store, line, clock, logger, metrics: new Metrics() }),
            states: new StateReader({ store, clock, logger, ledger }),
            ledger,
            line,
            clock,
            logger,
        });
    }

    async append(topic: Topic, records: readonly KeyedRecord[]): Promise<void> {
        await this.runUntilSettled(this.store.append({ topic, records, timeoutMs: APPEND_TIMEOUT_MS }));
    }

    /** Lets time pass until a promise has settled. */
    async runUntilSettled<T>(promise: Promise<T>): Promise<{ result: T; tookMs: number }> {
        const startedAtMs = this.clock.getNow();
        let settled: { result: T; tookMs: number } | undefined;
        void promise.then(result => settled = { result, tookMs: this.clock.getNow() - startedAtMs });
        for (let passed = 0; passed < 10_000 && settled === undefined; passed++) {
            await this.clock.runFor(1);
        }
        if (settled === undefined) {
            throw new Error("Nothing came of it in ten seconds.");
        }
        return settled;
    }

    getState(id: string, patienceMs = PATIENCE_MS): Promise<{ result: StateAnswer; tookMs: number }> {
        return this.runUntilSettled(this.desk.getState(id, patienceMs));
    }

    async waitInVain(timeoutMs: number): Promise<undefined> {
        return new Promise(resolve => this.clock.schedule(timeoutMs, () => resolve(undefined)));
    }

    private async readPage(topic: Topic, afterKey: string | undefined): Promise<NewestAnswer> {
        this.pages.push(topic);
        const underWay = (this.pagesUnderWay.get(topic) ?? 0) + 1;
        this.pagesUnderWay.set(topic, underWay);
        this.mostPagesUnderWay = Math.max(this.mostPagesUnderWay, underWay);
        await this.beforePage(this.pages.length);
        const page = await this.store.readNewest(topic, afterKey);
        this.pagesUnderWay.set(topic, (this.pagesUnderWay.get(topic) ?? 0) - 1);
        return page;
    }
}
