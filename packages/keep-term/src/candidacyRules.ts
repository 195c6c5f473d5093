/** Limits of the decision to stand. */
export interface CandidacyRules {
    /** A coordinator that is silent for so long is suspected, in milliseconds. */
    readonly silenceMs: number;
    /** A coordinator that goes without the store for so long has to give way, in milliseconds. */
    readonly storeSilenceMs: number;
    /** A process that reaches nobody stands only when no renewal has come for so long, in milliseconds. */
    readonly renewalSilenceMs: number;
}
