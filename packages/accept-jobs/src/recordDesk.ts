import type { Metrics } from "@sardinestage/count-metrics";
import type { Clock, KeyedRecord, StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, ReadOutcome, Topic, waitFor } from "@sardinestage/describe-ports";
import { AdaptiveTimeout } from "@sardinestage/learn-behaviour";
import type { EventLogger } from "@sardinestage/log-events";
import { CoordinatorCallKind } from "./coordinatorCallKind.js";
import type { CoordinatorLine } from "./coordinatorLine.js";
import { KeyReader } from "./keyReader.js";
import { SubmitOutcome } from "./submitOutcome.js";
import { TrustedLine } from "./trustedLine.js";

/** How long an append may take at least and at most, in milliseconds, before it is repeated or goes another way. */
const APPEND_TIMEOUTS = { leastMs: 200, mostMs: 500 };
/** Appends of one batch to the store before another way is tried. */
const DIRECT_TRIES = 2;
/** A batch without an answer holds the next one up for so long, in milliseconds: several usual answer times. */
const NEXT_BATCH_MS = 40;
/** Batches that wait for an answer at once. */
const MOST_BATCHES = 10;
/** Pause between two looks whether a store that failed answers again, in milliseconds. */
const LOOK_PAUSE_MS = 250;
/** How long the coordinator may take for an append, in milliseconds. */
const RELAYED_TIMEOUT_MS = 1000;
/** Pause between two looks whether a record is in the store after all, in milliseconds. */
const CONFIRM_PAUSE_MS = 100;
/** How long a record is worked on if the caller doesn't say, in milliseconds. */
const USUAL_TIMEOUT_MS = 2700;

/** What a record desk works with. */
interface RecordDeskParts {
    readonly store: StorePort;
    readonly line: CoordinatorLine;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly metrics: Metrics;
}

/** A record that waits for the next append. */
interface Entry {
    readonly record: KeyedRecord;
    /** When its caller stops waiting, in steady milliseconds. */
    readonly untilMs: number;
    readonly settle: (outcome: SubmitOutcome) => void;
}

/**
 * Puts callers' records into the store, many in one append. Where the store doesn't answer this VM, the coordinator
 * appends for it; a record that is appended twice is the same record. What became of a record without an answer is looked
 * up in the store for as long as its caller waits. No caller's record is used to find out whether the
 * store answers again: callers would wait for it, and couldn't be told what became of their job. Answers outages.
 */
export class RecordDesk {
    private waiting: Entry[] = [];
    /** Whether a batch was sent so lately that the next ones gather. */
    private isGathering = false;
    private batchesUnderWay = 0;
    private isDoubted = false;
    private readonly timeout = new AdaptiveTimeout(APPEND_TIMEOUTS);
    private readonly line: TrustedLine;
    private readonly keys: KeyReader;
    /** Where the topic ended when an append was last answered: what is sent later comes after it. */
    private knownEnd: number | undefined;

    constructor(private readonly parts: RecordDeskParts) {
        this.line = new TrustedLine({ ...parts, purpose: "appends", silentAfterMs: RELAYED_TIMEOUT_MS });
        this.keys = new KeyReader({ ...parts, topic: Topic.Jobs, name: "jobs" });
    }

    /**
     * Puts a record into the store.
     *
     * @param timeoutMs How long to try, and to look what became of it, in milliseconds.
     */
    append(record: KeyedRecord, timeoutMs = USUAL_TIMEOUT_MS): Promise<SubmitOutcome> {
        return new Promise(resolve => {
            const untilMs = this.parts.clock.getNow() + timeoutMs;
            this.waiting.push({ record, untilMs, settle: resolve });
            this.startBatch();
        });
    }

    /** Sends what waits in one append; the next follows the answer, or soon when there is none. */
    private startBatch(): void {
        if (this.waiting.length === 0 || this.isGathering || this.batchesUnderWay >= MOST_BATCHES) {
            return;
        }
        const entries = this.waiting;
        this.waiting = [];
        this.isGathering = true;
        this.batchesUnderWay++;
        const endGathering = () => {
            this.isGathering = false;
            this.startBatch();
        };
        const cancel = this.parts.clock.schedule(NEXT_BATCH_MS, endGathering);
        void this.appendAnyWay(entries).finally(() => {
            cancel();
            this.batchesUnderWay--;
            endGathering();
        });
    }

    /** Tries the store; what it refused goes to the coordinator, and of what it didn't answer is found out what became. */
    private async appendAnyWay(entries: readonly Entry[]): Promise<void> {
        const from = this.knownEnd;
        const records = entries.map(entry => entry.record);
        const direct = this.isDoubted ? SubmitOutcome.Refused : await this.appendDirectly(records);
        if (direct === SubmitOutcome.Accepted) {
            entries.forEach(entry => entry.settle(direct));
            return;
        }
        const relayed = this.appendRelayed(records);
        const soonRelayed = this.waitRelayed(relayed);
        const outcome = direct === SubmitOutcome.Refused ? await soonRelayed : direct;
        if (outcome === SubmitOutcome.Unknown) {
            void this.confirmUnknown(entries, { relayed, soonRelayed }, from);
            return;
        }
        entries.forEach(entry => entry.settle(outcome));
    }

    /**
     * Ends the wait for records that may be in the store: as accepted once they are found there, or are appended after all.
     *
     * @param ways What becomes of them by way of the coordinator: at last, and as far as it can be told in good time.
     * @param from Where the topic ended before they were first sent, if that is known.
     */
    private async confirmUnknown(
        entries: readonly Entry[],
        { relayed, soonRelayed }: Readonly<Record<"relayed" | "soonRelayed", Promise<SubmitOutcome>>>,
        from: number | undefined,
    ): Promise<void> {
        const { clock, metrics } = this.parts;
        const open = new Set(entries);
        const accept = (entry: Entry, way: string) => {
            if (open.delete(entry)) {
                metrics.count("accept_confirmed_total", way);
                entry.settle(SubmitOutcome.Accepted);
            }
        };
        const expiries = entries.map(entry =>
            clock.schedule(Math.max(0, entry.untilMs - clock.getNow()), () => {
                open.delete(entry);
                entry.settle(SubmitOutcome.Unknown);
            })
        );
        void relayed.then(outcome => {
            if (outcome === SubmitOutcome.Accepted) {
                [...open].forEach(entry => accept(entry, "relayed"));
            }
        });
        await this.confirmStored(open, accept, from);
        if (open.size > 0) {
            await soonRelayed;
        }
        expiries.forEach(cancel => cancel());
        open.forEach(entry => entry.settle(SubmitOutcome.Unknown));
    }

    /** What becomes of records by way of the coordinator, as far as it can be told in good time. */
    private waitRelayed(relayed: Promise<SubmitOutcome>): Promise<SubmitOutcome> {
        return new Promise(resolve => {
            const cancel = this.parts.clock.schedule(RELAYED_TIMEOUT_MS, () => resolve(SubmitOutcome.Unknown));
            void relayed.then(outcome => {
                cancel();
                resolve(outcome);
            });
        });
    }

    /** Looks for records in the store, and appends those that aren't there again, until none is left or it doesn't answer. */
    private async confirmStored(
        open: ReadonlySet<Entry>,
        accept: (entry: Entry, way: string) => void,
        from: number | undefined,
    ): Promise<void> {
        let next = from;
        while (open.size > 0) {
            const found = await this.findStored([...open], next);
            if (found === undefined) {
                return;
            }
            next = found.next;
            [...open].filter(entry => found.keys.has(entry.record.key)).forEach(entry => accept(entry, "found"));
            const missing = [...open];
            if (
                missing.length > 0
                && await this.tryAppending(missing.map(entry => entry.record)) === SubmitOutcome.Accepted
            ) {
                missing.forEach(entry => accept(entry, "appended"));
            }
            if (open.size > 0) {
                await waitFor(this.parts.clock, CONFIRM_PAUSE_MS);
            }
        }
    }

    /**
     * Finds which records are in the store: in the tail since an earlier append, which is short; by key where that isn't
     * known or kept.
     *
     * @returns Undefined when the store didn't answer.
     */
    private async findStored(
        entries: readonly Entry[],
        from: number | undefined,
    ): Promise<{ keys: ReadonlySet<string>; next: number | undefined } | undefined> {
        if (from !== undefined) {
            const answer = await this.parts.store.read(Topic.Jobs, from, 0);
            if (answer.outcome === ReadOutcome.Failed) {
                return undefined;
            }
            if (answer.outcome === ReadOutcome.Read) {
                const stored = answer.records.filter(({ value }) => value !== undefined);
                return { keys: new Set(stored.map(({ key }) => key)), next: answer.next };
            }
        }
        const read = ({ record, untilMs }: Entry) => this.keys.read(record.key, untilMs);
        const answers = await Promise.all(entries.map(read));
        const keys = new Set(answers.flatMap(records => records?.map(({ key }) => key) ?? []));
        return answers.includes(undefined) && keys.size === 0 ? undefined : { keys, next: undefined };
    }

    /** An answer that was lost says nothing about the record, so the same records are sent once more. */
    private async appendDirectly(records: readonly KeyedRecord[]): Promise<SubmitOutcome> {
        let isUnknown = false;
        for (let tries = 0; tries < DIRECT_TRIES; tries++) {
            const outcome = await this.tryAppending(records);
            if (outcome === SubmitOutcome.Accepted) {
                return outcome;
            }
            isUnknown ||= outcome === SubmitOutcome.Unknown;
            if (outcome === SubmitOutcome.Refused) {
                break;
            }
        }
        return isUnknown ? SubmitOutcome.Unknown : SubmitOutcome.Refused;
    }

    private async tryAppending(records: readonly KeyedRecord[]): Promise<SubmitOutcome> {
        const { store, clock, metrics } = this.parts;
        const sentAtMs = clock.getNow();
        const answer = await store.append({ topic: Topic.Jobs, records, timeoutMs: this.timeout.currentMs });
        const tookMs = clock.getNow() - sentAtMs;
        metrics.recordDuration("accept_append", tookMs);
        if (answer.outcome === AppendOutcome.Appended) {
            this.knownEnd = Math.max(answer.end, this.knownEnd ?? 0);
        }
        const outcome = convertOutcome(answer.outcome);
        this.timeout.noteOutcome(outcome !== SubmitOutcome.Unknown, tookMs);
        if (outcome !== SubmitOutcome.Accepted) {
            metrics.count("accept_failures_total", `store-${AppendOutcome[answer.outcome]}`);
            void this.watchStore();
        }
        return outcome;
    }

    /** Looks until the store answers again. */
    private async watchStore(): Promise<void> {
        const { store, clock, logger } = this.parts;
        if (this.isDoubted) {
            return;
        }
        this.isDoubted = true;
        const sinceMs = clock.getNow();
        logger.warn("store-doubted", { topic: "jobs" });
        while (!(await store.readNewest(Topic.Term, undefined)).succeeded) {
            await waitFor(clock, LOOK_PAUSE_MS);
        }
        this.isDoubted = false;
        logger.info("store-trusted", { topic: "jobs", afterMs: Math.round(clock.getNow() - sinceMs) });
    }

    private async appendRelayed(records: readonly KeyedRecord[]): Promise<SubmitOutcome> {
        const { metrics } = this.parts;
        const reply = await this.line.call({ kind: CoordinatorCallKind.Append, records });
        if (reply === undefined) {
            metrics.count("accept_failures_total", "no-coordinator");
            return SubmitOutcome.Unknown;
        }
        if (reply.isUnsent === true) {
            metrics.count("accept_failures_total", "coordinator-unreached");
            return SubmitOutcome.Refused;
        }
        if (reply.outcome === undefined) {
            // A peer passed the call on and got no answer: the record may be in the store.
            metrics.count("accept_failures_total", "relay-unanswered");
            return SubmitOutcome.Unknown;
        }
        return convertOutcome(reply.outcome);
    }
}

function convertOutcome(outcome: AppendOutcome): SubmitOutcome {
    if (outcome === AppendOutcome.Appended) {
        return SubmitOutcome.Accepted;
    }
    return outcome === AppendOutcome.Unknown ? SubmitOutcome.Unknown : SubmitOutcome.Refused;
}
