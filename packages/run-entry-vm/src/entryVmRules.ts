import type { CandidacyRules } from "@sardinestage/keep-term";

/** Times of an entry VM's process. */
export interface EntryVmRules extends CandidacyRules {
    /** Time between two questions to the coordinator, in milliseconds. */
    readonly followMs: number;
    /** How long a peer may take to answer, in milliseconds. */
    readonly peerTimeoutMs: number;
    /** Time between two renewals of the term, in milliseconds. */
    readonly renewMs: number;
    /** How long a VM waits before it stands, for each millisecond that its store takes longer than a near one. */
    readonly standDelayPerStoreMs: number;
    /** The longest such wait, in milliseconds. */
    readonly maxStandDelayMs: number;
    /** Random part of the wait, in milliseconds, so that few race. */
    readonly standJitterMs: number;
}
