/** What became of a renewal. */
export enum RenewalOutcome {
    Renewed,
    /** Somebody else has won a term. */
    Deposed,
    /** The store refused or didn't answer. */
    Failed,
}
