import type { Metrics } from "@sardinestage/count-metrics";
import type { Clock, KeyedRecord, StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, Topic, waitFor } from "@sardinestage/describe-ports";
import { AnswerTimeout } from "@sardinestage/learn-behaviour";
import type { EventLogger } from "@sardinestage/log-events";
import { CoordinatorCallKind } from "./coordinatorCallKind.js";
import type { CoordinatorLine } from "./coordinatorLine.js";
import { SubmitOutcome } from "./submitOutcome.js";

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
    readonly settle: (outcome: SubmitOutcome) => void;
}

/**
 * Puts callers' records into the store, many in one append. Where the store doesn't answer this VM, the coordinator
 * appends for it; a record that is appended twice is the same record. No caller's record is used to find out whether the
 * store answers again: callers would wait for it, and couldn't be told what became of their job. Answers outages.
 */
export class RecordDesk {
    private waiting: Entry[] = [];
    /** Whether a batch was sent so lately that the next ones gather. */
    private isGathering = false;
    private batchesUnderWay = 0;
    private isDoubted = false;
    private readonly timeout = new AnswerTimeout(APPEND_TIMEOUTS);

    constructor(private readonly parts: RecordDeskParts) {}

    /** Puts a record into the store. */
    append(record: KeyedRecord): Promise<SubmitOutcome> {
        return new Promise(resolve => {
            this.waiting.push({ record, settle: resolve });
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
        void this.appendAnyWay(entries.map(entry => entry.record)).then(outcome => {
            cancel();
            this.batchesUnderWay--;
            entries.forEach(entry => entry.settle(outcome));
            endGathering();
        });
    }

    /** Tries the store and then the coordinator; while the store is in doubt, only the coordinator. */
    private async appendAnyWay(records: readonly KeyedRecord[]): Promise<SubmitOutcome> {
        const first = this.isDoubted ? SubmitOutcome.Refused : await this.appendDirectly(records);
        if (first === SubmitOutcome.Accepted) {
            return first;
        }
        const second = await this.appendRelayed(records);
        if (second === SubmitOutcome.Accepted) {
            return second;
        }
        const isUnknown = first === SubmitOutcome.Unknown || second === SubmitOutcome.Unknown;
        return isUnknown ? SubmitOutcome.Unknown : SubmitOutcome.Refused;
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
        const call = { kind: CoordinatorCallKind.Append, records };
        const reply = await this.parts.line.call(call, RELAYED_TIMEOUT_MS);
        if (reply === undefined) {
            this.parts.metrics.count("accept_failures_total", "no-coordinator");
            return SubmitOutcome.Unknown;
        }
        if (reply.isUnsent === true) {
            this.parts.metrics.count("accept_failures_total", "coordinator-unreached");
            return SubmitOutcome.Refused;
        }
        if (reply.outcome === undefined) {
            // A peer passed the call on and got no answer: the record may be in the store.
            this.parts.metrics.count("accept_failures_total", "relay-unanswered");
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
