import { Metrics } from "@sardinestage/count-metrics";
import type { KeyedRecord, NewestRecordsPage, PageOptions, StorePort } from "@sardinestage/describe-ports";
import { Topic, waitFor } from "@sardinestage/describe-ports";
import { emulatedStoreLimits, MemoryStore, VirtualClock } from "@sardinestage/emulate-platform";
import type { EventLogger } from "@sardinestage/log-events";
import type { CoordinatorCall } from "../coordinatorCall.js";
import type { CoordinatorReply } from "../coordinatorReply.js";
import { JobService } from "../jobService.js";
import type { JobStateAnswer } from "../jobStateAnswer.js";
import { JobStateCache } from "../jobStateCache.js";
import { JobStateReader } from "../jobStateReader.js";
import { RecordAppender } from "../recordAppender.js";

const KEEP_MS = 120_000;
const CALLER_TIMEOUT_MS = 3000;
const APPEND_TIMEOUT_MS = 1000;
const MAX_SETTLE_MS = 30_000;
/** Bytes of a record in a page beside its key and its value, which is in base64. */
const RECORD_OVERHEAD_BYTES = 40;
const BASE64_EXPANSION = 4 / 3;
/** Step in which the pages in flight get their share of a link, in milliseconds. */
const LINK_STEP_MS = 5;

/** How a harness's store answers reads, and the room that its coordinator has for jobs. */
interface PageTraits {
    /** Maximum number of records in a page. */
    readonly pageRecords?: number;
    /** Bandwidth of the VM's link in bytes a millisecond, which the pages in flight share. */
    readonly bytesPerMs?: number;
    /** Memory that new jobs may take of the coordinator, in bytes; undefined if no coordinator tells of it. */
    readonly freeJobBytes?: number;
}

/** A job service with an emulated store, a virtual clock and a coordinator that the test defines. */
export class JobServiceHarness {
    readonly clock = new VirtualClock();
    readonly store: MemoryStore;
    readonly jobStateCache = new JobStateCache(this.clock, KEEP_MS);
    /** Bytes of the pages that the job service has read. */
    bytesRead = 0;
    readonly calls: CoordinatorCall[] = [];
    /** The log lines: each event with its fields. */
    readonly events: { readonly event: string; readonly fields: object | undefined }[] = [];
    readonly callTimeoutsMs: number[] = [];
    /** Topics of the pages that the job service has requested from the store. */
    readonly pages: Topic[] = [];
    /** Maximum number of pages of one topic that were in flight at the same time. */
    maxPagesInFlight = 0;
    /** Called just before the store reads a page, with the number of pages requested so far, this one included. */
    beforePage: (pages: number) => Promise<void> = () => Promise.resolve();
    readonly jobService: JobService;
    private readonly pagesInFlight = new Map<Topic, number>();
    private pagesOnLink = 0;
    /** The coordinator; by default it doesn't answer. */
    coordinator: (call: CoordinatorCall, timeoutMs: number) => Promise<CoordinatorReply | undefined> = (_, timeoutMs) =>
        this.waitUnanswered(timeoutMs);

    constructor(private readonly traits: PageTraits = {}) {
        const { clock, jobStateCache } = this;
        this.store = new MemoryStore(clock, () => 0.5, traits.pageRecords);
        const metrics = new Metrics();
        const write = (event: string, fields: object | undefined) => void this.events.push({ event, fields });
        const logger: EventLogger = { info: write, warn: write, error: write };
        const coordinatorClient = {
            call: (call: CoordinatorCall, timeoutMs: number) => {
                this.calls.push(call);
                this.callTimeoutsMs.push(timeoutMs);
                return this.coordinator(call, timeoutMs);
            },
        };
        const store: StorePort = {
            append: call => this.store.append(call),
            read: (topic, from, waitMs) => this.store.read(topic, from, waitMs),
            readNewest: (topic, afterKey, options) => this.readPage(topic, afterKey, options),
        };
        this.jobService = new JobService({
            recordAppender: new RecordAppender({
                limits: emulatedStoreLimits,
                store,
                coordinatorClient,
                clock,
                logger,
                metrics,
            }),
            stateReader: new JobStateReader({ store, clock, logger, jobStateCache }),
            jobStateCache,
            coordinatorClient,
            clock,
            logger,
            metrics,
            getFreeJobBytes: () => traits.freeJobBytes,
        });
    }

    async append(topic: Topic, records: readonly KeyedRecord[]): Promise<void> {
        await this.runUntilSettled(this.store.append({ topic, records, timeoutMs: APPEND_TIMEOUT_MS }));
    }

    /** Advances the clock until a promise has settled. */
    async runUntilSettled<T>(promise: Promise<T>): Promise<{ result: T; tookMs: number }> {
        const startedAtMs = this.clock.getNow();
        let settled: { result: T; tookMs: number } | undefined;
        void promise.then(result => settled = { result, tookMs: this.clock.getNow() - startedAtMs });
        for (let passed = 0; passed < MAX_SETTLE_MS && settled === undefined; passed++) {
            await this.clock.runFor(1);
        }
        if (settled === undefined) {
            throw new Error("The promise didn't settle within 30 seconds of virtual time.");
        }
        return settled;
    }

    getState(id: string, callerTimeoutMs = CALLER_TIMEOUT_MS): Promise<{ result: JobStateAnswer; tookMs: number }> {
        return this.runUntilSettled(this.jobService.getState(id, callerTimeoutMs));
    }

    /** A call that isn't answered: resolves to undefined after its timeout. */
    async waitUnanswered(timeoutMs: number): Promise<undefined> {
        return new Promise(resolve => this.clock.schedule(timeoutMs, () => resolve(undefined)));
    }

    private async sendOnLink(page: NewestRecordsPage): Promise<void> {
        const { bytesPerMs = Infinity } = this.traits;
        let bytes = page.records.reduce(
            (sum, { key, value }) => sum + RECORD_OVERHEAD_BYTES + key.length + (value?.length ?? 0) * BASE64_EXPANSION,
            0,
        );
        this.bytesRead += bytes;
        this.pagesOnLink++;
        while (bytes > 0 && bytesPerMs < Infinity) {
            await waitFor(this.clock, LINK_STEP_MS);
            bytes -= bytesPerMs * LINK_STEP_MS / this.pagesOnLink;
        }
        this.pagesOnLink--;
    }

    private async readPage(
        topic: Topic,
        afterKey: string | undefined,
        options: PageOptions | undefined,
    ): Promise<NewestRecordsPage> {
        this.pages.push(topic);
        const inFlight = (this.pagesInFlight.get(topic) ?? 0) + 1;
        this.pagesInFlight.set(topic, inFlight);
        this.maxPagesInFlight = Math.max(this.maxPagesInFlight, inFlight);
        await this.beforePage(this.pages.length);
        const page = await this.store.readNewest(topic, afterKey, options);
        await this.sendOnLink(page);
        this.pagesInFlight.set(topic, (this.pagesInFlight.get(topic) ?? 0) - 1);
        return page;
    }
}
