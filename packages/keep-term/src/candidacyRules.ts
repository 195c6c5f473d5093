/** Limits of the decision to stand. */
export interface CandidacyRules {
    /** A coordinator that is silent for so long is suspected, in milliseconds. */
    readonly silenceMs: number;
    /** A coordinator that goes without the store for so long has to give way, in milliseconds. */
    readonly storeSilenceMs: number;
    /** A coordinator whose last renewal is no older than this lives, however slow it answers, in milliseconds. */
    readonly freshRenewalMs: number;
    /** A coordinator that answers nobody for so long is of no use although it renews, in milliseconds. */
    readonly unreachableMs: number;
    /** A renewing coordinator that this share of the members follows is reached by the others (0 to 1). */
    readonly followedShare: number;
    /** A process that reaches nobody stands only when no renewal has come for so long, in milliseconds. */
    readonly renewalSilenceMs: number;
    /**
     * A coordinator that took over within this is given `youngTermPatience` times as long: a takeover reads and holds everything,
     * and another on top of it would do so again. In milliseconds.
     */
    readonly youngTermMs: number;
    readonly youngTermPatience: number;
}
