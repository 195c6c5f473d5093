import type { Clock, StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, Topic } from "@sardinestage/describe-ports";
import { Encoder } from "cbor-x";
import type { Candidate } from "./candidate.js";
import { RenewalOutcome } from "./renewalOutcome.js";
import type { TermHolder } from "./termHolder.js";
import type { TermView } from "./termView.js";

const TERM_KEY = "coordinator";
/** Timeout of an append to the term topic, in milliseconds. */
const APPEND_TIMEOUT_MS = 600;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
/**
 * A record of the term topic: `[vm, incarnation, host, port, term, written at (Unix milliseconds), strength, number of
 * following VMs, whether there may be started runs that aren't recorded, whether leases are bound by the age of the
 * authority]`. Versions that don't bind leases write no such field. The term is 0 in the record that wins a
 * term, since the term follows from that record's offset.
 */
type TermRow = [string, string, string, number, number, number, number, number, boolean, boolean?];

/**
 * The term topic, which decides which process is the coordinator. Every append succeeds only if the topic ends at the
 * expected offset. So only one of two candidates wins, and a renewal fails once another process has won a term.
 */
export class TermLog {
    private end = 0;
    private confirmedEnd = 0;
    /**
     * The end offset that the last try to win a term expected, if that try may still be carried out; undefined if none
     * may.
     */
    private unsettledTryEnd: number | undefined;

    constructor(
        private readonly store: StorePort,
        private readonly candidate: Candidate,
        private readonly clock: Clock,
    ) {}

    /** Whether a try of this process to win a term got no answer and may still be carried out. */
    get hasUnsettledTry(): boolean {
        return this.unsettledTryEnd !== undefined;
    }

    /**
     * The newest fencing token that the term which this process won last may use; 0 if it has won none. It is the
     * offset after this process's newest record that the store has confirmed. A term is the offset of its winning record
     * plus one, and that record comes after all records of earlier terms. So the token is at least this process's term
     * and below every later one. It grows with each confirmed renewal, stays as it is while renewals fail, and never
     * falls.
     */
    get newestFence(): number {
        return this.confirmedEnd;
    }

    /** Reads the current term and its holder; undefined if the store doesn't answer. */
    async readTerm(): Promise<TermView | undefined> {
        const view = await this.readNewest();
        if (view !== undefined && this.unsettledTryEnd !== undefined && view.end > this.unsettledTryEnd) {
            this.unsettledTryEnd = undefined;
        }
        return view;
    }

    private async readNewest(): Promise<TermView | undefined> {
        const page = await this.store.readNewest(Topic.Term, undefined);
        if (!page.succeeded) {
            return undefined;
        }
        const record = page.records.find(entry => entry.key === TERM_KEY);
        if (record?.value === undefined) {
            return {
                holder: undefined,
                end: page.end,
                recordEnd: 0,
                writtenAtMs: 0,
                followers: 0,
                hasUnrecordedStarts: false,
                areLeasesBound: false,
            };
        }
        const row = encoder.decode(record.value) as TermRow;
        const [vm, incarnation, host, port, term, writtenAtMs, strength, followers, hasUnrecordedStarts] = row;
        const areLeasesBound = row[9] === true;
        const holder: TermHolder = {
            term: term === 0 ? record.offset + 1 : term,
            vm,
            incarnation,
            host,
            port,
            strength,
        };
        const recordEnd = record.offset + 1;
        const end = Math.max(page.end, recordEnd);
        return { holder, end, recordEnd, writtenAtMs, followers, hasUnrecordedStarts, areLeasesBound };
    }

    /**
     * Tries to win the next term. The record says that there may be unrecorded runs: until the holder's first renewal,
     * other processes can't tell which runs the holder knows of, and an append without an answer may win long after it
     * was sent.
     *
     * @param end End offset of the topic when it was last read.
     * @returns The term won by this process; undefined if another process was faster or the store failed. An append
     *   without an answer may still win; then the next `readTerm` returns this process as the holder.
     */
    async tryWin(end: number): Promise<TermHolder | undefined> {
        this.unsettledTryEnd = end;
        const answer = await this.append(end, 0, 0, true, false);
        if (answer.outcome !== AppendOutcome.Unknown) {
            this.unsettledTryEnd = undefined;
        }
        if (answer.outcome !== AppendOutcome.Appended) {
            return undefined;
        }
        this.end = answer.offset + 1;
        this.noteConfirmed(this.end);
        return { ...this.candidate, term: answer.offset + 1 };
    }

    /** Accepts a term that this process has won by an append whose answer was lost. */
    acceptTerm(view: TermView): void {
        this.end = view.end;
        this.noteConfirmed(view.recordEnd);
    }

    /**
     * Renews the term of this process, or finds out that another process has won a later one.
     *
     * @param followers Number of VMs that follow this coordinator.
     * @param hasUnrecordedStarts Whether there may be started runs that aren't recorded in the store yet.
     * @param areLeasesBound Whether no lease of this term or an earlier one goes beyond the bound by the authority's age.
     */
    async renew(
        term: number,
        followers: number,
        hasUnrecordedStarts: boolean,
        areLeasesBound = false,
    ): Promise<RenewalOutcome> {
        const answer = await this.append(this.end, term, followers, hasUnrecordedStarts, areLeasesBound);
        if (answer.outcome === AppendOutcome.Appended) {
            this.end = answer.offset + 1;
            this.noteConfirmed(this.end);
            return RenewalOutcome.Renewed;
        }
        if (answer.outcome !== AppendOutcome.ConditionFailed) {
            return RenewalOutcome.Failed;
        }
        const view = await this.readTerm();
        if (view === undefined) {
            return RenewalOutcome.Failed;
        }
        if (view.holder?.term !== term) {
            return RenewalOutcome.TermLost;
        }
        // An earlier renewal that got no answer was written after all.
        this.end = view.end;
        this.noteConfirmed(view.recordEnd);
        return RenewalOutcome.Renewed;
    }

    /** Notes the offset after a record of this process; a late answer to an earlier append lowers nothing. */
    private noteConfirmed(recordEnd: number): void {
        this.confirmedEnd = Math.max(this.confirmedEnd, recordEnd);
    }

    private append(
        at: number,
        term: number,
        followers: number,
        hasUnrecordedStarts: boolean,
        areLeasesBound: boolean,
    ) {
        const { vm, incarnation, host, port, strength } = this.candidate;
        const writtenAtMs = this.clock.getWallTime();
        const row: TermRow = [
            vm,
            incarnation,
            host,
            port,
            term,
            writtenAtMs,
            strength,
            followers,
            hasUnrecordedStarts,
            areLeasesBound,
        ];
        const records = [{ key: TERM_KEY, value: encoder.encode(row) }];
        return this.store.append({ topic: Topic.Term, records, at, timeoutMs: APPEND_TIMEOUT_MS });
    }
}
