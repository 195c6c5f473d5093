import type { OperatorRecord } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";
import type { EvacuationState, EvacuationView } from "@sardinestage/track-evacuations";
import { EvacuationChange, EvacuationTable } from "@sardinestage/track-evacuations";

/** Problems of records that change nothing, for the log. */
const PROBLEMS: Readonly<Partial<Record<EvacuationChange, string>>> = {
    [EvacuationChange.Repeated]: "repeated",
    [EvacuationChange.NotEvacuated]: "not-evacuated",
};

/** Keeps the evacuations that the store and other VMs have told of, and logs the records that are unusual. */
export class EvacuationKeeper {
    private readonly table = new EvacuationTable();
    /** The domains that the reads since the last complete one have listed as evacuated. */
    private readonly listed = new Set<string>();

    constructor(private readonly logger: EventLogger) {}

    /** The evacuations as far as they are known now. */
    get view(): EvacuationView {
        return this.table;
    }

    /** The state to tell other VMs; undefined while it isn't known. */
    get state(): EvacuationState | undefined {
        return this.table.state;
    }

    /** Applies a record of the operator. */
    takeRecord({ evacuation, problem }: OperatorRecord & { readonly evacuation: object }, offset: number): void {
        const { domain, isEvacuated } = evacuation;
        if (domain === "") {
            this.logger.warn("evacuation-record-odd", { domain, offset, problem });
            return;
        }
        if (isEvacuated) {
            this.listed.add(domain);
        }
        else {
            this.listed.delete(domain);
        }
        const change = this.table.applyRecord(evacuation, offset, "store");
        if (change === EvacuationChange.Outdated) {
            return;
        }
        const unchanged = PROBLEMS[change];
        if (unchanged !== undefined) {
            this.logger.warn("evacuation-record-odd", { domain, offset, problem: problem ?? unchanged });
        }
        else {
            this.reportChange(change, domain, offset, "store", problem);
        }
    }

    /**
     * Notes that all records below an offset have been taken.
     *
     * @param isLoad Whether a domain without a record isn't evacuated.
     */
    noteRead(readUpTo: number, isLoad: boolean): void {
        if (isLoad) {
            this.table.applyListing(this.listed, readUpTo)
                .forEach(({ domain }) => this.reportChange(EvacuationChange.Ended, domain, readUpTo - 1, "store"));
        }
        this.listed.clear();
        this.table.noteRead(readUpTo);
    }

    /**
     * Takes over what another VM knows and this one doesn't.
     *
     * @param state Undefined from a VM that doesn't know the state, or is of an earlier version.
     * @param source Who told it, for the log.
     */
    applyState(state: EvacuationState | undefined, source: string): void {
        if (state === undefined) {
            return;
        }
        const { started, ended } = this.table.applyState(state, source);
        started.forEach(({ domain, offset }) => this.reportChange(EvacuationChange.Started, domain, offset, source));
        ended.forEach(({ domain }) => this.reportChange(EvacuationChange.Ended, domain, state.readUpTo - 1, source));
    }

    private reportChange(
        change: EvacuationChange,
        domain: string,
        offset: number,
        source: string,
        problem?: string,
    ): void {
        const isEvacuated = change === EvacuationChange.Started;
        this.logger.info("evacuation-learned", { domain, isEvacuated, offset, source, problem });
    }
}
