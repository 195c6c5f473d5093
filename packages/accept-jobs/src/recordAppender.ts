import type { Metrics } from "@sardinestage/count-metrics";
import type { Clock, KeyedRecord, StoreLimits, StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, Topic } from "@sardinestage/describe-ports";
import { AdaptiveTimeout } from "@sardinestage/learn-behaviour";
import type { EventLogger } from "@sardinestage/log-events";
import { CoordinatorCallKind } from "./coordinatorCallKind.js";
import type { CoordinatorClient } from "./coordinatorClient.js";
import { GuardedCoordinatorClient } from "./guardedCoordinatorClient.js";
import type { PendingRecord } from "./pendingRecord.js";
import { PossiblyStoredKeys } from "./possiblyStoredKeys.js";
import { RecordConfirmer } from "./recordConfirmer.js";
import { StoreWatch } from "./storeWatch.js";
import { SubmitOutcome } from "./submitOutcome.js";

/** Bounds of the learned timeout of an append, in milliseconds; after it the append is repeated or falls back. */
const APPEND_TIMEOUT_BOUNDS = { leastMs: 200, mostMs: 500 };
/** Attempts to append one batch directly to the store before the fallback to the coordinator. */
const MAX_DIRECT_ATTEMPTS = 2;
/** How long an unanswered batch delays the next one, in milliseconds: several usual answer times. */
const MAX_BATCH_DELAY_MS = 40;
/** Maximum number of unanswered batches at a time. */
const MAX_BATCHES_IN_FLIGHT = 10;
/** How long the coordinator may take for an append on behalf of this VM, in milliseconds. */
const RELAYED_TIMEOUT_MS = 1000;
/** Bytes of a record's length, and of its key's length. */
const RECORD_LENGTH_BYTES = 4;
const KEY_LENGTH_BYTES = 1;
/** Default time to append a record and find out its outcome, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 2700;

/** Dependencies of `RecordAppender`. */
interface RecordAppenderParts {
    readonly store: StorePort;
    readonly coordinatorClient: CoordinatorClient;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly metrics: Metrics;
    readonly limits: StoreLimits;
}

/**
 * Appends callers' records to the store in batches. If the store doesn't answer this VM, the coordinator appends the
 * records instead; appending a record twice has no further effect. If an append gets no answer, the records are looked
 * up in the store until their callers stop waiting.
 *
 * While the store or the coordinator is unavailable, records aren't sent to it to find out whether it answers again: their
 * callers would wait, and then get an unknown outcome. A record that was never sent, or that was refused by all that it
 * was sent to, is refused; it may be in the store in every other case.
 */
export class RecordAppender {
    private waiting: PendingRecord[] = [];
    /** Whether new records still collect for the next batch, because the last batch was only just sent. */
    private isCollecting = false;
    private batchesInFlight = 0;
    private readonly appendTimeout = new AdaptiveTimeout(APPEND_TIMEOUT_BOUNDS);
    private readonly coordinator: GuardedCoordinatorClient;
    private readonly confirmer: RecordConfirmer;
    private readonly storeWatch: StoreWatch;
    private readonly possiblyStored = new PossiblyStoredKeys();
    /** Each settles a pending record as if its caller had stopped waiting. */
    private readonly expirations = new Set<() => void>();
    /** Highest known end offset of the topic; records sent from now on are stored at or after it. */
    private knownEnd: number | undefined;

    constructor(private readonly parts: RecordAppenderParts) {
        this.coordinator = new GuardedCoordinatorClient({
            ...parts,
            purpose: "appends",
            answerTimeoutMs: RELAYED_TIMEOUT_MS,
            probe: { kind: CoordinatorCallKind.Append, records: [] },
        });
        this.storeWatch = new StoreWatch(parts);
        this.confirmer = new RecordConfirmer(parts, records => this.tryAppending(records));
    }

    /**
     * Appends a record to the store.
     *
     * @param timeoutMs How long to try, and to look up an unknown outcome, in milliseconds.
     */
    append(record: KeyedRecord, timeoutMs = DEFAULT_TIMEOUT_MS): Promise<SubmitOutcome> {
        if (countBytes(record) > this.parts.limits.maxRecordBytes) {
            return Promise.resolve(SubmitOutcome.Invalid);
        }
        this.possiblyStored.notePending(record.key);
        return new Promise(resolve => {
            this.waiting.push(this.createPending(record, timeoutMs, resolve));
            this.startBatch();
        });
    }

    /** Whether a record of this key may be in the store, or may still be written. */
    hasPossiblyStored(key: string): boolean {
        return this.possiblyStored.has(key);
    }

    /** Settles all pending records now: those that were never sent are refused, and the outcome of others is unknown. */
    expirePending(): void {
        [...this.expirations].forEach(expire => expire());
    }

    /** Creates a pending record that is settled when its caller stops waiting, if not before. */
    private createPending(
        record: KeyedRecord,
        timeoutMs: number,
        resolve: (outcome: SubmitOutcome) => void,
    ): PendingRecord {
        const { clock } = this.parts;
        let isSettled = false;
        const settle = (outcome: SubmitOutcome) => {
            if (!isSettled) {
                isSettled = true;
                cancel();
                this.expirations.delete(expire);
                resolve(this.possiblyStored.noteOutcome(record.key, outcome));
            }
        };
        const expire = () => {
            const isUnsent = this.waiting.includes(pending);
            this.waiting = this.waiting.filter(waiting => waiting !== pending);
            settle(isUnsent ? SubmitOutcome.Refused : SubmitOutcome.Unknown);
        };
        const cancel = clock.schedule(timeoutMs, expire);
        this.expirations.add(expire);
        const pending = { record, untilMs: clock.getNow() + timeoutMs, settle };
        return pending;
    }

    /** Sends all waiting records in one append. The next batch follows the answer, or a short delay without one. */
    private startBatch(): void {
        if (this.waiting.length === 0 || this.isCollecting || this.batchesInFlight >= MAX_BATCHES_IN_FLIGHT) {
            return;
        }
        const batch = this.takeBatch();
        this.isCollecting = true;
        this.batchesInFlight++;
        const finishCollecting = () => {
            this.isCollecting = false;
            this.startBatch();
        };
        const cancel = this.parts.clock.schedule(MAX_BATCH_DELAY_MS, finishCollecting);
        void this.appendWithFallback(batch).finally(() => {
            cancel();
            this.batchesInFlight--;
            finishCollecting();
        });
    }

    /** Takes waiting records, as many as one append may have. */
    private takeBatch(): readonly PendingRecord[] {
        let bytes = 0;
        const excess = this.waiting.findIndex(({ record }, index) => {
            bytes += RECORD_LENGTH_BYTES + countBytes(record);
            return index > 0 && bytes > this.parts.limits.maxAppendBytes;
        });
        return this.waiting.splice(0, excess === -1 ? this.waiting.length : excess);
    }

    /** Appends to the store, or by the coordinator if the store fails; looks up records of unknown outcome. */
    private async appendWithFallback(batch: readonly PendingRecord[], mayWaitForStore = true): Promise<void> {
        const from = this.knownEnd;
        const records = batch.map(pending => pending.record);
        const isSkipped = this.storeWatch.isUnavailable;
        const direct = isSkipped ? SubmitOutcome.Refused : await this.appendDirectly(records);
        if (direct === SubmitOutcome.Accepted) {
            batch.forEach(pending => pending.settle(direct));
            return;
        }
        if (direct === SubmitOutcome.Invalid) {
            await this.appendSeparately(batch);
            return;
        }
        const relayed = this.appendRelayed(records);
        const relayedInTime = this.waitForRelayed(relayed);
        const outcome = direct === SubmitOutcome.Refused ? await relayedInTime : direct;
        if (outcome === SubmitOutcome.Invalid) {
            await this.appendSeparately(batch);
            return;
        }
        if (outcome === SubmitOutcome.Unknown) {
            void this.confirmer.confirm(batch, { relayed, relayedInTime }, from);
            return;
        }
        if (outcome === SubmitOutcome.Refused && isSkipped && mayWaitForStore && await this.storeWatch.waitForCheck()) {
            await this.appendWithFallback(batch, false);
            return;
        }
        batch.forEach(pending => pending.settle(outcome));
    }

    /** Appends each record of a batch by itself, so that one that the store never takes is refused alone. */
    private async appendSeparately(batch: readonly PendingRecord[]): Promise<void> {
        if (batch.length === 1) {
            batch.forEach(pending => pending.settle(SubmitOutcome.Invalid));
            return;
        }
        for (const pending of batch) {
            await this.appendWithFallback([pending]);
        }
    }

    /** Waits for the outcome of an append by the coordinator; `Unknown` after a timeout. */
    private waitForRelayed(relayed: Promise<SubmitOutcome>): Promise<SubmitOutcome> {
        return new Promise(resolve => {
            const cancel = this.parts.clock.schedule(RELAYED_TIMEOUT_MS, () => resolve(SubmitOutcome.Unknown));
            void relayed.then(outcome => {
                cancel();
                resolve(outcome);
            });
        });
    }

    /** Appends to the store, and retries if the answer is lost: the records may or may not have been written then. */
    private async appendDirectly(records: readonly KeyedRecord[]): Promise<SubmitOutcome> {
        let isUnknown = false;
        for (let attempt = 0; attempt < MAX_DIRECT_ATTEMPTS; attempt++) {
            const outcome = await this.tryAppending(records);
            if (outcome === SubmitOutcome.Accepted) {
                return outcome;
            }
            isUnknown ||= outcome === SubmitOutcome.Unknown;
            if (outcome === SubmitOutcome.Invalid && !isUnknown) {
                return outcome;
            }
            if (outcome !== SubmitOutcome.Unknown) {
                break;
            }
        }
        return isUnknown ? SubmitOutcome.Unknown : SubmitOutcome.Refused;
    }

    private async tryAppending(records: readonly KeyedRecord[]): Promise<SubmitOutcome> {
        const { store, clock, metrics } = this.parts;
        const sentAtMs = clock.getNow();
        const answer = await store.append({ topic: Topic.Jobs, records, timeoutMs: this.appendTimeout.currentMs });
        const tookMs = clock.getNow() - sentAtMs;
        metrics.recordDuration("accept_append", tookMs);
        if (answer.outcome === AppendOutcome.Appended) {
            this.knownEnd = Math.max(answer.end, this.knownEnd ?? 0);
        }
        const outcome = convertOutcome(answer.outcome);
        this.appendTimeout.noteOutcome(outcome !== SubmitOutcome.Unknown, tookMs);
        if (outcome !== SubmitOutcome.Accepted) {
            metrics.count("accept_failures_total", `store-${AppendOutcome[answer.outcome]}`);
            if (outcome !== SubmitOutcome.Invalid) {
                this.storeWatch.noteFailure();
            }
        }
        return outcome;
    }

    private async appendRelayed(records: readonly KeyedRecord[]): Promise<SubmitOutcome> {
        const { metrics } = this.parts;
        const reply = await this.coordinator.call({ kind: CoordinatorCallKind.Append, records });
        if (reply === undefined) {
            metrics.count("accept_failures_total", "no-coordinator");
            return SubmitOutcome.Unknown;
        }
        if (reply.isUnsent === true) {
            metrics.count("accept_failures_total", "coordinator-unreached");
            return SubmitOutcome.Refused;
        }
        if (reply.outcome === undefined) {
            // A peer relayed the call and got no answer, so the records may be in the store.
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
    if (outcome === AppendOutcome.TooLarge || outcome === AppendOutcome.Malformed) {
        return SubmitOutcome.Invalid;
    }
    return outcome === AppendOutcome.Unknown ? SubmitOutcome.Unknown : SubmitOutcome.Refused;
}

/** Counts the bytes of a record without its length. */
function countBytes({ key, value }: KeyedRecord): number {
    return KEY_LENGTH_BYTES + Buffer.byteLength(key) + (value?.length ?? 0);
}
