import type { CandidacyRules } from "@sardinestage/keep-term";

/** Times of an entry VM's process. */
export interface EntryVmRules extends CandidacyRules {
    /**
     * A successor that sees the coordinator's last sign in the store no older than this knows that no work was started
     * unrecorded, in milliseconds: shorter than the time after which a coordinator does so, less `renewalDoubtMs`.
     */
    readonly maxRecordedAgeMs: number;
    /**
     * A renewal that is sent so long after the last one that succeeded doesn't say that all is recorded, in milliseconds:
     * more than `renewMs`, and the less it is the longer before unrecorded work a renewal was sent that says so.
     */
    readonly lateRenewalMs: number;
    /** The times of day of two VMs may differ by this, in milliseconds. */
    readonly wallClockToleranceMs: number;
    /** A VM that has the store back waits so long before it takes the term from a coordinator without, in milliseconds. */
    readonly minStoreAvailableMs: number;
    /** Time between two questions to the coordinator, in milliseconds. */
    readonly followIntervalMs: number;
    /** How long a peer may take to answer, in milliseconds. */
    readonly peerTimeoutMs: number;
    /** Time between two renewals of the term, in milliseconds. */
    readonly renewMs: number;
    /** How long a VM waits before it stands, for each millisecond that its store takes longer than a near one. */
    readonly storeDelayFactor: number;
    /** The longest such wait, in milliseconds. */
    readonly maxStoreDelayMs: number;
    /** How long a VM waits before it stands for having next to no strength beside the strongest, in milliseconds. */
    readonly maxWeaknessDelayMs: number;
    /** A coordinator that is this much weaker than another VM hands the term over (0 to 1). */
    readonly handoverWeakness: number;
    /** Terms are handed over so long after they began, and to VMs that have followed for so long, in milliseconds. */
    readonly minHandoverTermMs: number;
    /** Random part of the wait, in milliseconds, so that few race. */
    readonly jitterMs: number;
}
