import type { EvacuationView } from "@sardinestage/track-evacuations";
import type { TrackedWorker } from "../workers/trackedWorker.js";

/** Dependencies of a start gate. */
interface StartGateParts {
    /** Lists the workers that are known now. */
    readonly listWorkers: () => Iterable<TrackedWorker>;
    /** When this coordinator began its term, in steady milliseconds. */
    readonly openedAtMs: number;
    /** How long a worker keeps its tasks running after its last lease renewal, in milliseconds. */
    readonly leaseMs: number;
    /** An entry that was lost while the store was unavailable is listed again within this time, in milliseconds. */
    readonly entryReturnMs: number;
    /** When the list of workers was last read, in steady milliseconds. */
    readonly getListReadAt: () => number;
    /** Returns when all leases that earlier coordinators granted have expired, in steady milliseconds. */
    readonly getExpiredAt: () => number;
    /** Whether an earlier coordinator may have started work without recording it. */
    readonly hadUnrecordedStarts: boolean;
    /** The evacuations that the store or another VM has told of. */
    readonly evacuations: Pick<EvacuationView, "isKnown">;
}

/**
 * Delays the first starts of a term until the lease of each worker that answers is extended: start orders would delay
 * the renewals, and work that runs already is worth more than work that waits. If an earlier coordinator may have
 * started work without recording it, the first starts also wait until each worker has reported its tasks or its lease
 * has expired. Nothing starts either before it is known which failure domains are evacuated; leases are renewed meanwhile.
 */
export class StartGate {
    private areLeasesExtended = false;
    private areEarlierRunsKnown: boolean;

    /**
     * @param takenOver The workers that may run tasks that an earlier coordinator started.
     * @param parts Dependencies of the gate.
     */
    constructor(private readonly takenOver: readonly TrackedWorker[], private readonly parts: StartGateParts) {
        this.areEarlierRunsKnown = !parts.hadUnrecordedStarts;
    }

    /** Whether starts may begin. An open gate stays open: workers that join later run nothing of earlier coordinators. */
    tryOpen(nowMs: number): boolean {
        const { openedAtMs, leaseMs } = this.parts;
        // After the length of a lease, every lease that could expire has expired.
        this.areLeasesExtended ||= nowMs - openedAtMs >= leaseMs || this.isSettled();
        this.areEarlierRunsKnown ||= this.hasAllReported(nowMs);
        return this.areLeasesExtended && this.areEarlierRunsKnown && this.parts.evacuations.isKnown;
    }

    /** Whether each worker has its lease extended, or can't get one now because it doesn't answer or isn't listed. */
    isSettled(): boolean {
        return this.takenOver.every(worker => worker.isLeaseRenewed || worker.isUnlisted || worker.missedRenewals > 0);
    }

    private hasAllReported(nowMs: number): boolean {
        const { listWorkers, getListReadAt, openedAtMs, entryReturnMs, getExpiredAt } = this.parts;
        // Workers whose entries were lost may run tasks too; a list that is read after `entryReturnMs` names them
        // again.
        const isListComplete = getListReadAt() - openedAtMs >= entryReturnMs || nowMs > getExpiredAt();
        // A worker whose entry is gone may only be partitioned from the platform, and runs on until its lease expires.
        const unreported = [...listWorkers()].filter(worker => !worker.hasReported);
        return isListComplete && unreported.every(worker => nowMs > worker.getLeaseExpiry());
    }
}
