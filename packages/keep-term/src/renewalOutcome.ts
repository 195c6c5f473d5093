/** Outcome of a renewal of a term. */
export enum RenewalOutcome {
    Renewed,
    /** Another process has won a later term. */
    TermLost,
    /** The store refused the append or didn't answer. */
    Failed,
}
