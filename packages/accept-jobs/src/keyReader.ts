import type { Clock, NewestAnswer, StoredRecord, StorePort, Topic } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";
import { PageTimes } from "./pageTimes.js";

/** Pages asked for at once: a second one when the first is late, so that a lost answer doesn't hold up all questions. */
const MOST_PAGES = 2;
/** Shortest time between two pages, in milliseconds: questions that come together share a page. */
const LEAST_PAUSE_MS = 25;
/** Bytes of pages a second and VM: under half of the slowest link, the rest is for callers and peers. */
const BYTES_PER_SECOND = 500_000;
/** A byte takes this much in a page: base64. */
const BYTES_IN_PAGE = 4 / 3;
/** Bytes of a record in a page beside its key and value. */
const RECORD_BYTES = 40;
/** Pages on end without an answer after which questions are refused at once; pages that were under way together count once. */
const FAILURES_TO_DOUBT = 2;
/** Pause between two looks whether a store that failed answers again, in milliseconds. */
const LOOK_PAUSE_MS = 250;

/** What a key reader works with. */
interface KeyReaderParts {
    readonly store: StorePort;
    readonly topic: Topic;
    /** Name of the topic in log lines. */
    readonly name: string;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Told of every record read, asked for or not. */
    readonly noteRecord?: (record: StoredRecord) => void;
}

/** A question that waits for a page. */
interface Question {
    readonly key: string;
    readonly settle: (records: readonly StoredRecord[] | undefined) => void;
    /** Whether a page that is under way is to answer it. */
    isAsked: boolean;
}

/**
 * Reads the newest records of single keys. The store only has pages, which may be large, so questions that wait share
 * them, and pages go round the keys in order, one after another: two at once would share the link and have mostly the same
 * keys. Each is followed by a pause in proportion to its size. A question is answered from pages asked for after it came:
 * what they don't have, the store didn't have then.
 */
export class KeyReader {
    private readonly waiting = new Set<Question>();
    private pagesUnderWay = 0;
    private sentAtMs = -Infinity;
    private readonly times = new PageTimes();
    private nextAtMs = -Infinity;
    private cancelNext: (() => void) | undefined;
    private cursor = "";
    private failures = 0;
    private failedAtMs = -Infinity;

    constructor(private readonly parts: KeyReaderParts) {}

    /** Whether the store has failed so often that questions aren't kept waiting for it. */
    get isDoubted(): boolean {
        return this.failures >= FAILURES_TO_DOUBT;
    }

    /**
     * Reads the record of a key, and those whose keys continue it after a slash.
     *
     * @param untilMs When to give up, in steady milliseconds.
     * @returns The records, none if there are none for certain; undefined when the store didn't tell in time, or a page was lost.
     */
    read(key: string, untilMs: number): Promise<readonly StoredRecord[] | undefined> {
        const { clock } = this.parts;
        if (this.isDoubted && (this.pagesUnderWay > 0 || clock.getNow() < this.nextAtMs)) {
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => {
            const settle = (records: readonly StoredRecord[] | undefined) => {
                if (this.waiting.delete(question)) {
                    cancel();
                    resolve(records);
                }
            };
            const question: Question = { key, settle, isAsked: false };
            const cancel = clock.schedule(Math.max(0, untilMs - clock.getNow()), () => settle(undefined));
            this.waiting.add(question);
            this.startPage();
        });
    }

    private startPage(): void {
        const { clock } = this.parts;
        const open = [...this.waiting].filter(question => !question.isAsked);
        if (open.length === 0 || this.pagesUnderWay >= MOST_PAGES) {
            return;
        }
        const lateAtMs = this.pagesUnderWay > 0 ? this.sentAtMs + this.times.lateAfterMs : -Infinity;
        const pauseMs = Math.max(this.nextAtMs, lateAtMs) - clock.getNow();
        this.cancelNext?.();
        if (pauseMs > 0) {
            this.cancelNext = clock.schedule(pauseMs, () => this.startPage());
            return;
        }
        const keys = open.map(question => question.key).sort();
        const first = keys.find(key => key >= this.cursor) ?? keys[0];
        void this.readPage(first, open.filter(question => question.key >= first));
        this.startPage();
    }

    private async readPage(first: string, asked: readonly Question[]): Promise<void> {
        const { store, topic, clock } = this.parts;
        asked.forEach(question => question.isAsked = true);
        this.pagesUnderWay++;
        const sentAtMs = clock.getNow();
        this.sentAtMs = sentAtMs;
        this.nextAtMs = sentAtMs + LEAST_PAUSE_MS;
        const page = await store.readNewest(topic, computeKeyBefore(first));
        this.pagesUnderWay--;
        asked.forEach(question => question.isAsked = false);
        this.noteOutcome(page.succeeded, sentAtMs);
        if (page.succeeded) {
            this.times.notePage(clock.getNow() - sentAtMs);
            this.nextAtMs = Math.max(this.nextAtMs, sentAtMs + computePause(page));
            this.answerQuestions(page, first, asked);
        }
        else {
            this.nextAtMs = clock.getNow() + LOOK_PAUSE_MS;
            const failed = this.isDoubted ? [...this.waiting] : asked;
            failed.forEach(question => question.settle(undefined));
        }
        this.startPage();
    }

    private answerQuestions(page: NewestAnswer, first: string, asked: readonly Question[]): void {
        const last = page.hasMore ? page.records.at(-1)?.key ?? first : undefined;
        this.cursor = last ?? "";
        page.records.forEach(record => this.parts.noteRecord?.(record));
        for (const question of asked) {
            if (last === undefined || last > `${question.key}/\uffff`) {
                const isOurs = ({ key }: StoredRecord) => key === question.key || key.startsWith(`${question.key}/`);
                question.settle(page.records.filter(isOurs));
            }
        }
    }

    private noteOutcome(succeeded: boolean, sentAtMs: number): void {
        const { clock, logger, name } = this.parts;
        const wasDoubted = this.isDoubted;
        if (succeeded) {
            this.failures = 0;
        }
        else if (sentAtMs >= this.failedAtMs) {
            this.failures++;
            this.failedAtMs = clock.getNow();
        }
        if (this.isDoubted && !wasDoubted) {
            logger.warn("store-reads-lost", { topic: name });
        }
        else if (wasDoubted && !this.isDoubted) {
            logger.info("store-reads-regained", { topic: name });
        }
    }
}

/** A key that comes before the given one, with no other record's between them but by chance. */
function computeKeyBefore(key: string): string {
    return key.slice(0, -1) + String.fromCharCode(key.charCodeAt(key.length - 1) - 1);
}

function computePause(page: NewestAnswer): number {
    const bytes = page.records.reduce(
        (sum, { key, value }) => sum + RECORD_BYTES + key.length + (value?.length ?? 0) * BYTES_IN_PAGE,
        0,
    );
    return bytes / BYTES_PER_SECOND * 1000;
}
