import type { TrackedWorker } from "./trackedWorker.js";

/** What a start gate judges by. */
interface StartGateParts {
    /** The workers that are known now. */
    readonly listLinks: () => Iterable<TrackedWorker>;
    /** When the term began here, in steady milliseconds. */
    readonly openedAtMs: number;
    /** How long a worker may run on without hearing from a coordinator, in milliseconds. */
    readonly leaseMs: number;
    /** An entry that vanished while the store was away is back within this, in milliseconds. */
    readonly entryReturnMs: number;
    /** When the list was last read, in steady milliseconds. */
    readonly getListReadAt: () => number;
    /** When everything that earlier coordinators let run has lapsed, in steady milliseconds. */
    readonly lapsedAtMs: number;
    /** Whether an earlier coordinator may have started work without recording it. */
    readonly hadUnrecordedStarts: boolean;
}

/**
 * Keeps the first starts of a term back until each worker that answers has its lease extended: start orders would
 * delay the renewals of what runs already, which is worth more than what waits. Where unrecorded work may be about, the
 * first starts wait longer.
 */
export class StartGate {
    private areLeasesExtended = false;

    /**
     * @param taken The workers that may run what an earlier coordinator started.
     * @param parts What it judges by.
     */
    constructor(private readonly taken: readonly TrackedWorker[], private readonly parts: StartGateParts) {}

    /** Whether starts may begin. */
    tryOpening(nowMs: number): boolean {
        const { openedAtMs, leaseMs } = this.parts;
        // After a whole lease, whatever could lapse has lapsed.
        this.areLeasesExtended ||= nowMs - openedAtMs >= leaseMs || this.isSettled();
        return this.areLeasesExtended && (!this.parts.hadUnrecordedStarts || this.isAllHeard(nowMs));
    }

    /** Whether each worker has its lease, or doesn't answer so that nothing can be done for it now. */
    isSettled(): boolean {
        return this.taken.every(link => link.isLeaseRenewed || link.isUnlisted || link.missedRenewals > 0);
    }

    private isAllHeard(nowMs: number): boolean {
        const { listLinks, getListReadAt, openedAtMs, entryReturnMs, lapsedAtMs } = this.parts;
        // Workers that the list has lost may run something too; a list that is read after this names them again.
        const isListComplete = getListReadAt() - openedAtMs >= entryReturnMs || nowMs > lapsedAtMs;
        // One whose entry is gone may only be cut off from the platform, and run on until its leases have run out.
        const unheard = [...listLinks()].filter(link => !link.hasReported);
        return isListComplete && unheard.every(link => nowMs > link.getLeaseExpiry());
    }
}
