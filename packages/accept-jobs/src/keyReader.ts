import type { Clock, NewestRecordsPage, StoredRecord, StorePort, Topic } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";
import type { PageBudget } from "./pageBudget.js";
import type { PageRead } from "./pageRead.js";
import { PageReporter } from "./pageReporter.js";
import { PageSpan } from "./pageSpan.js";
import { PageTimeTracker } from "./pageTimeTracker.js";
import type { PageTotals } from "./pageTotals.js";
import type { ReadRequest } from "./readRequest.js";

/** Pages in flight at a time: a second one if the first is late, so that a lost answer doesn't delay all requests. */
const MAX_PAGES_IN_FLIGHT = 2;
/** Pages in flight at a time with those that are overdue, whose answers may be lost. */
const MAX_PAGES_WITH_OVERDUE = 4;
/** While it isn't known how many keys a page holds, a page in flight is relied on for the first of so many parts. */
const UNKNOWN_SPAN_DIVISOR = 3;
/**
 * Time after which a page may be lost and is requested again, in milliseconds: more than pages take from a slow store,
 * and early enough for a second page within a caller's usual timeout.
 */
const OVERDUE_AFTER_MS = 1500;
/** Minimum time between two pages, in milliseconds: requests in quick succession share a page. */
const MIN_PAGE_INTERVAL_MS = 25;
/** Time in which requests gather for a page when none were waiting, in milliseconds: callers ask for many jobs at once. */
const GATHER_MS = 10;
/** Bytes that one byte of a value takes in a page, which encodes values in base64. */
const BASE64_EXPANSION = 4 / 3;
/** Bytes that a record takes in a page in addition to its key and value. */
const RECORD_OVERHEAD_BYTES = 40;
/** Consecutive failed pages after which the store is unavailable; pages that were in flight together count as one. */
const FAILURES_UNTIL_UNAVAILABLE = 2;
/** Pause after a failed page before the next one, in milliseconds. */
const STORE_CHECK_INTERVAL_MS = 250;

/** Dependencies and settings of `KeyReader`. */
interface KeyReaderParts {
    readonly store: StorePort;
    readonly topic: Topic;
    /** Name of the topic in log lines. */
    readonly name: string;
    /** The rate limit, which all readers of a VM share. */
    readonly budget: PageBudget;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Called for every record of a page, whether requested or not. */
    readonly noteRecord?: (record: StoredRecord) => void;
}

/**
 * Reads the newest records of single keys. The store offers only pages of keys, which may be large, so waiting requests
 * share them. Pages cycle through the keys in order, one at a time: two at once would share the network link and
 * contain mostly the same keys. Their rate is limited. Only while a page is late is a second one requested, for keys that
 * the first probably doesn't reach.
 *
 * A request is answered only from pages sent after the request was made. If such a page lacks the key, the store had no
 * record of the key when the request was made.
 */
export class KeyReader {
    private readonly waiting = new Set<ReadRequest>();
    private readonly pages = new Set<PageRead>();
    private lastPageSentAtMs = -Infinity;
    private readonly pageTimes = new PageTimeTracker();
    private readonly pageSpan = new PageSpan();
    private nextPageAtMs = -Infinity;
    private cancelNextPage: (() => void) | undefined;
    private cursor = "";
    private failures = 0;
    private lastFailureAtMs = -Infinity;
    private pagesRead = 0;
    private bytesRead = 0;
    private readonly pageReporter: PageReporter;

    constructor(private readonly parts: KeyReaderParts) {
        this.pageReporter = new PageReporter(parts.clock, parts.logger, parts.name);
    }

    /** Whether several pages have failed in a row, so that requests no longer wait for the store. */
    get isStoreUnavailable(): boolean {
        return this.failures >= FAILURES_UNTIL_UNAVAILABLE;
    }

    /** The pages read so far, lost ones included, and their bytes. */
    get totals(): PageTotals {
        return { pages: this.pagesRead, bytes: this.bytesRead };
    }

    /**
     * Reads the record of a key, and the records of keys that start with this key and a slash.
     *
     * @param untilMs When to give up, in steady milliseconds.
     * @returns The records; an empty list if the store certainly has none; undefined if the store didn't answer in time
     *   or the page was lost.
     */
    read(key: string, untilMs: number): Promise<readonly StoredRecord[] | undefined> {
        const { clock } = this.parts;
        if (this.isStoreUnavailable && (this.countPunctual() > 0 || clock.getNow() < this.nextPageAtMs)) {
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => {
            const settle = (records: readonly StoredRecord[] | undefined) => {
                if (this.waiting.delete(request)) {
                    cancel();
                    resolve(records);
                }
            };
            const request: ReadRequest = { key, untilMs, settle, page: undefined };
            const cancel = clock.schedule(Math.max(0, untilMs - clock.getNow()), () => settle(undefined));
            this.waiting.add(request);
            this.nextPageAtMs = Math.max(this.nextPageAtMs, clock.getNow() + (this.waiting.size === 1 ? GATHER_MS : 0));
            this.startPage();
        });
    }

    /** Logs the pages that aren't logged yet. */
    close(): void {
        this.pageReporter.flush();
    }

    private startPage(): void {
        const { clock } = this.parts;
        const inFlight = this.countPunctual();
        const isArriving = [...this.pages].some(page => page.isArriving);
        const isFull = isArriving || inFlight >= MAX_PAGES_IN_FLIGHT || this.pages.size >= MAX_PAGES_WITH_OVERDUE;
        const unrequested = isFull ? [] : this.listUnrequested();
        if (unrequested.length === 0) {
            return;
        }
        const lateAtMs = inFlight > 0 ? this.lastPageSentAtMs + this.pageTimes.lateAfterMs : -Infinity;
        const pauseMs = Math.max(this.nextPageAtMs, this.parts.budget.nextPageAtMs, lateAtMs) - clock.getNow();
        this.cancelNextPage?.();
        if (pauseMs > 0) {
            this.cancelNextPage = clock.schedule(pauseMs, () => this.startPage());
            return;
        }
        const keys = unrequested.map(({ key }) => key).sort();
        const first = keys.find(key => key >= this.cursor) ?? keys[0];
        void this.readPage(first);
        this.startPage();
    }

    /** Counts the pages in flight that aren't overdue. */
    private countPunctual(): number {
        return [...this.pages].filter(page => !page.isOverdue).length;
    }

    /**
     * Lists the requests that the next page is for: those that no page in flight will probably answer. As long as it
     * isn't known how many keys a page holds, these are two thirds of all once the page in flight is late.
     */
    private listUnrequested(): readonly ReadRequest[] {
        const waiting = [...this.waiting];
        const unrequested = waiting.filter(({ page }) => page === undefined);
        if (unrequested.length > 0 || this.pageSpan.isKnown) {
            return unrequested;
        }
        const sorted = waiting.sort((one, other) => one.key < other.key ? -1 : 1);
        return sorted.slice(Math.ceil(sorted.length / UNKNOWN_SPAN_DIVISOR));
    }

    private async readPage(first: string): Promise<void> {
        const { store, topic, clock } = this.parts;
        const sentAtMs = clock.getNow();
        const requested = [...this.waiting].filter(({ key }) => key >= first);
        const page: PageRead = { first, requested, sentAtMs, isArriving: false, isOverdue: false };
        requested.filter(({ key }) => this.pageSpan.isReached(first, key)).forEach(request => request.page = page);
        this.pages.add(page);
        this.lastPageSentAtMs = sentAtMs;
        this.nextPageAtMs = sentAtMs + MIN_PAGE_INTERVAL_MS;
        const cancelOverdue = clock.schedule(OVERDUE_AFTER_MS, () => this.noteOverdue(page));
        const untilMs = Math.max(...requested.map(request => request.untilMs));
        const timeoutMs = Math.max(OVERDUE_AFTER_MS, untilMs - sentAtMs);
        const onStart = () => void (page.isArriving = true);
        const answer = await store.readNewest(topic, computeKeyBefore(first), { timeoutMs, onStart });
        cancelOverdue();
        this.pages.delete(page);
        this.pagesRead++;
        const released = releaseRequests(page);
        const tookMs = clock.getNow() - sentAtMs;
        const bytes = computeBytes(answer);
        this.pageReporter.notePage(answer.succeeded ? bytes : undefined, tookMs);
        if (answer.succeeded) {
            this.noteSuccess();
            this.bytesRead += bytes;
            this.pageTimes.notePage(tookMs);
            this.parts.budget.notePage(bytes, sentAtMs);
            this.answerRequests(answer, first, requested);
        }
        else if (!page.isOverdue) {
            this.noteFailure(sentAtMs);
            this.nextPageAtMs = clock.getNow() + STORE_CHECK_INTERVAL_MS;
            released.forEach(request => request.settle(undefined));
            this.refuseIfUnavailable();
        }
        this.startPage();
    }

    /** Lets other pages answer the requests of a page that may be lost. Its own answer is still used if it comes. */
    private noteOverdue(page: PageRead): void {
        if (page.isArriving) {
            return;
        }
        page.isOverdue = true;
        releaseRequests(page);
        this.noteFailure(page.sentAtMs);
        this.refuseIfUnavailable();
        this.startPage();
    }

    private answerRequests(page: NewestRecordsPage, first: string, requested: readonly ReadRequest[]): void {
        const last = page.hasMore ? page.records.at(-1)?.key ?? first : undefined;
        this.pageSpan.notePage(first, last);
        this.pages.forEach(other => this.releaseUnreached(other));
        this.cursor = last ?? "";
        page.records.forEach(record => this.parts.noteRecord?.(record));
        for (const request of requested) {
            if (last === undefined || last > `${request.key}/\uffff`) {
                const isRequested = ({ key }: StoredRecord) => key === request.key || key.startsWith(`${request.key}/`);
                request.settle(page.records.filter(isRequested));
            }
        }
    }

    /** Lets other pages answer the requests of a page in flight that it probably won't reach. */
    private releaseUnreached(page: PageRead): void {
        page.requested
            .filter(request => request.page === page && !this.pageSpan.isReached(page.first, request.key))
            .forEach(request => request.page = undefined);
    }

    /** Refuses the requests that wait once the store is unavailable, so that their callers can ask another VM. */
    private refuseIfUnavailable(): void {
        if (this.isStoreUnavailable) {
            [...this.waiting].forEach(request => request.settle(undefined));
        }
    }

    private noteSuccess(): void {
        if (this.isStoreUnavailable) {
            this.parts.logger.info("store-reads-regained", { topic: this.parts.name });
        }
        this.failures = 0;
    }

    private noteFailure(sentAtMs: number): void {
        const { clock, logger, name } = this.parts;
        const wasUnavailable = this.isStoreUnavailable;
        if (sentAtMs >= this.lastFailureAtMs) {
            this.failures++;
            this.lastFailureAtMs = clock.getNow();
        }
        if (this.isStoreUnavailable && !wasUnavailable) {
            logger.warn("store-reads-lost", { topic: name });
        }
    }
}

/** Lets another page answer the requests that rely on a page; returns these. */
function releaseRequests(page: PageRead): readonly ReadRequest[] {
    const released = page.requested.filter(request => request.page === page);
    released.forEach(request => request.page = undefined);
    return released;
}

/** Computes a key just before the given one, so that a page starts at the given key; keys in between are unlikely. */
function computeKeyBefore(key: string): string {
    return key.slice(0, -1) + String.fromCharCode(key.charCodeAt(key.length - 1) - 1);
}

/** Computes about how many bytes a page has on the network. */
function computeBytes(page: NewestRecordsPage): number {
    return page.records.reduce(
        (sum, { key, value }) => sum + RECORD_OVERHEAD_BYTES + key.length + (value?.length ?? 0) * BASE64_EXPANSION,
        0,
    );
}
