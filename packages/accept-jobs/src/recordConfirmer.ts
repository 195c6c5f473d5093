import type { Metrics } from "@sardinestage/count-metrics";
import type { Clock, KeyedRecord, StorePort } from "@sardinestage/describe-ports";
import { ReadOutcome, Topic, waitFor } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";
import { KeyReader } from "./keyReader.js";
import { PageBudget } from "./pageBudget.js";
import type { PendingRecord } from "./pendingRecord.js";
import { SubmitOutcome } from "./submitOutcome.js";

/** Pause between two checks whether records of unknown outcome are in the store, in milliseconds. */
const CONFIRM_INTERVAL_MS = 100;

/** Dependencies of `RecordConfirmer`. */
interface RecordConfirmerParts {
    readonly store: StorePort;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly metrics: Metrics;
}

/** Outcome of an append by the coordinator: the final one, and the one known within its timeout. */
interface RelayedAppend {
    readonly relayed: Promise<SubmitOutcome>;
    readonly relayedInTime: Promise<SubmitOutcome>;
}

/** Finds out whether records are in the store whose append got no answer. */
export class RecordConfirmer {
    private readonly jobKeys: KeyReader;

    /**
     * @param parts Dependencies of the confirmer.
     * @param tryAppending Appends records to the store once.
     */
    constructor(
        private readonly parts: RecordConfirmerParts,
        private readonly tryAppending: (records: readonly KeyedRecord[]) => Promise<SubmitOutcome>,
    ) {
        this.jobKeys = new KeyReader({ ...parts, topic: Topic.Jobs, name: "jobs", budget: new PageBudget() });
    }

    /**
     * Settles records that may be in the store: as accepted once they are found there or are appended after all, as
     * unknown when their callers stop waiting or when neither the store nor the coordinator answers.
     *
     * @param relayedAppend The append by the coordinator.
     * @param from End offset of the topic before the records were first sent; undefined if unknown.
     */
    async confirm(
        batch: readonly PendingRecord[],
        relayedAppend: RelayedAppend,
        from: number | undefined,
    ): Promise<void> {
        const { clock, metrics } = this.parts;
        const { relayed, relayedInTime } = relayedAppend;
        const unconfirmed = new Set(batch);
        const accept = (pending: PendingRecord, way: string) => {
            if (unconfirmed.delete(pending)) {
                metrics.count("accept_confirmed_total", way);
                pending.settle(SubmitOutcome.Accepted);
            }
        };
        const expiries = batch.map(pending =>
            clock.schedule(Math.max(0, pending.untilMs - clock.getNow()), () => {
                unconfirmed.delete(pending);
                pending.settle(SubmitOutcome.Unknown);
            })
        );
        void relayed.then(outcome => {
            if (outcome === SubmitOutcome.Accepted) {
                [...unconfirmed].forEach(pending => accept(pending, "relayed"));
            }
        });
        await this.confirmStored(unconfirmed, accept, from);
        if (unconfirmed.size > 0) {
            await relayedInTime;
        }
        expiries.forEach(cancel => cancel());
        unconfirmed.forEach(pending => pending.settle(SubmitOutcome.Unknown));
    }

    /**
     * Looks up records in the store and appends the missing ones again, until all are confirmed or the store doesn't
     * answer.
     */
    private async confirmStored(
        unconfirmed: ReadonlySet<PendingRecord>,
        accept: (pending: PendingRecord, way: string) => void,
        from: number | undefined,
    ): Promise<void> {
        let next = from;
        while (unconfirmed.size > 0) {
            const found = await this.findStored([...unconfirmed], next);
            if (found === undefined) {
                return;
            }
            next = found.next;
            [...unconfirmed].filter(pending => found.keys.has(pending.record.key)).forEach(pending =>
                accept(pending, "found")
            );
            const missing = [...unconfirmed];
            if (
                missing.length > 0
                && await this.tryAppending(missing.map(pending => pending.record)) === SubmitOutcome.Accepted
            ) {
                missing.forEach(pending => accept(pending, "appended"));
            }
            if (unconfirmed.size > 0) {
                await waitFor(this.parts.clock, CONFIRM_INTERVAL_MS);
            }
        }
    }

    /**
     * Finds out which records are in the store. Reads the topic from the offset `from` on, which is short; looks up
     * each key if that offset is unknown or no longer kept.
     *
     * @returns The keys that are in the store, and the offset for the next call; undefined if the store didn't answer.
     */
    private async findStored(
        batch: readonly PendingRecord[],
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
        const read = ({ record, untilMs }: PendingRecord) => this.jobKeys.read(record.key, untilMs);
        const answers = await Promise.all(batch.map(read));
        const keys = new Set(answers.flatMap(records => records?.map(({ key }) => key) ?? []));
        return answers.includes(undefined) && keys.size === 0 ? undefined : { keys, next: undefined };
    }
}
