import type { CandidacyRules } from "@sardinestage/keep-term";

/** Timing rules of an entry VM's process. */
export interface EntryVmRules extends CandidacyRules {
    /**
     * If the last coordinator's contact with the store is younger than this, in milliseconds, its successor knows that
     * all starts are recorded. Has to be shorter than the outage after which a coordinator starts tasks without
     * recording them, less `lateRenewalMs`.
     */
    readonly maxRecordedAgeMs: number;
    /**
     * A renewal that is sent this long after the last successful one doesn't claim that all starts are recorded, in
     * milliseconds. Has to be more than `renewMs`. The smaller the value, the more time lies between the last renewal
     * with this claim and the first unrecorded start.
     */
    readonly lateRenewalMs: number;
    /** Largest difference between the times of day of two VMs, in milliseconds. */
    readonly wallClockToleranceMs: number;
    /**
     * How long the store has to answer a VM before that VM may replace a coordinator that can't reach the store, in
     * milliseconds.
     */
    readonly minStoreAvailableMs: number;
    /** Interval of the follow requests to the coordinator, in milliseconds. */
    readonly followIntervalMs: number;
    /** Timeout of a query to a peer, in milliseconds. */
    readonly peerTimeoutMs: number;
    /** Interval of the term's renewals, in milliseconds. */
    readonly renewMs: number;
    /** Delay of a candidacy for each millisecond by which the store answers slower than a nearby one. */
    readonly storeDelayFactor: number;
    /** Upper bound of the delay for a slow store, in milliseconds. */
    readonly maxStoreDelayMs: number;
    /** Delay of a candidacy for a VM with next to no strength compared to the strongest one, in milliseconds. */
    readonly maxWeaknessDelayMs: number;
    /** A coordinator hands the term over if it is at least this much weaker than the strongest VM (0 to 1). */
    readonly handoverWeakness: number;
    /** Minimum age of a term before a handover, and minimum time that its receiver has followed, in milliseconds. */
    readonly minHandoverTermMs: number;
    /** Upper bound of a candidacy's random delay, in milliseconds, which keeps VMs from competing at the same time. */
    readonly jitterMs: number;
}
