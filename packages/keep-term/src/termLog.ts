import type { Clock, StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, Topic } from "@sardinestage/describe-ports";
import { Encoder } from "cbor-x";
import type { Candidate } from "./candidate.js";
import { RenewalOutcome } from "./renewalOutcome.js";
import type { TermHolder } from "./termHolder.js";
import type { TermView } from "./termView.js";

const TERM_KEY = "coordinator";
/** How long an append to the term's topic may take, in milliseconds. */
const APPEND_TIMEOUT_MS = 600;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
/**
 * `[vm, incarnation, host, port, term, written at (Unix milliseconds), strength, VMs that follow, whether work may be
 * about that isn't recorded]`; term 0 in the record that wins it.
 */
type TermRow = [string, string, string, number, number, number, number, number, boolean];

/**
 * The topic that decides who coordinates. Every append names the offset at which it expects the topic to end, so that
 * of two candidates one wins, and a renewal fails as soon as somebody else has won.
 */
export class TermLog {
    private end = 0;

    constructor(
        private readonly store: StorePort,
        private readonly candidate: Candidate,
        private readonly clock: Clock,
    ) {}

    /** Reads who coordinates; undefined when the store doesn't answer. */
    async readTerm(): Promise<TermView | undefined> {
        const page = await this.store.readNewest(Topic.Term, undefined);
        if (!page.succeeded) {
            return undefined;
        }
        const record = page.records.find(entry => entry.key === TERM_KEY);
        if (record?.value === undefined) {
            return { holder: undefined, end: page.end, writtenAtMs: 0, followers: 0, hasUnrecordedStarts: false };
        }
        const row = encoder.decode(record.value) as TermRow;
        const [vm, incarnation, host, port, term, writtenAtMs, strength, followers, hasUnrecordedStarts] = row;
        const holder: TermHolder = {
            term: term === 0 ? record.offset + 1 : term,
            vm,
            incarnation,
            host,
            port,
            strength,
        };
        return { holder, end: Math.max(page.end, record.offset + 1), writtenAtMs, followers, hasUnrecordedStarts };
    }

    /**
     * Tries to win the next term. The record says that unrecorded work may be about: until the first renewal nobody can
     * tell what its holder knows, and an append without an answer may win long after it was sent.
     *
     * @param end Where the topic ended when it was read.
     * @returns The own term; or undefined when somebody else was faster or the store didn't take it. An append without
     *   an answer may still win: then the next `readTerm` names this process.
     */
    async tryWin(end: number): Promise<TermHolder | undefined> {
        const answer = await this.append(end, 0, 0, true);
        if (answer.outcome !== AppendOutcome.Appended) {
            return undefined;
        }
        this.end = answer.offset + 1;
        return { ...this.candidate, term: answer.offset + 1 };
    }

    /** Takes over a term that an append won whose answer was lost. */
    acceptTerm(view: TermView): void {
        this.end = view.end;
    }

    /**
     * Says that the term's holder lives; finds out when it no longer holds the term.
     *
     * @param followers How many VMs follow it.
     * @param hasUnrecordedStarts Whether work may be about that isn't recorded yet.
     */
    async renew(term: number, followers: number, hasUnrecordedStarts: boolean): Promise<RenewalOutcome> {
        const answer = await this.append(this.end, term, followers, hasUnrecordedStarts);
        if (answer.outcome === AppendOutcome.Appended) {
            this.end = answer.offset + 1;
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
            return RenewalOutcome.Deposed;
        }
        // An earlier renewal without an answer has been written after all.
        this.end = view.end;
        return RenewalOutcome.Renewed;
    }

    private append(at: number, term: number, followers: number, hasUnrecordedStarts: boolean) {
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
        ];
        const records = [{ key: TERM_KEY, value: encoder.encode(row) }];
        return this.store.append({ topic: Topic.Term, records, at, timeoutMs: APPEND_TIMEOUT_MS });
    }
}
