/** Limits for the decision to campaign for the next term. */
export interface CandidacyRules {
    /** Time without an answer after which the coordinator is suspected of having failed, in milliseconds. */
    readonly silenceMs: number;
    /** Time without access to the store after which the coordinator has to be replaced, in milliseconds. */
    readonly storeSilenceMs: number;
    /** A coordinator whose last renewal is younger than this is alive, however slowly it answers, in milliseconds. */
    readonly freshRenewalMs: number;
    /** Time without an answer after which a coordinator is replaced although it renews its term, in milliseconds. */
    readonly unreachableMs: number;
    /**
     * Share of the members, from 0 to 1, that must follow a renewing coordinator for it to count as reachable by other
     * members.
     */
    readonly minFollowerShare: number;
    /** A process that reaches no peer campaigns only after this time without a renewal, in milliseconds. */
    readonly renewalSilenceMs: number;
    /**
     * Time after a takeover during which `freshRenewalMs` is multiplied by `recentTakeoverFactor`, in milliseconds. A
     * new coordinator first reads all records and renews all leases, and another takeover would repeat this work.
     */
    readonly recentTakeoverMs: number;
    /** Factor for `freshRenewalMs` after a takeover. */
    readonly recentTakeoverFactor: number;
}
