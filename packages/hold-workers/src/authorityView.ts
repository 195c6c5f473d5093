/** What one scheduler knows that bears on its right to act for a worker. */
export interface AuthorityView {
    /** A condemnation of the worker stands in the log. */
    readonly isCondemned: boolean;
    /** When the newest read was sent that reached the end of the log; monotonic milliseconds. */
    readonly logFreshAtMs: number;
    /** For each listed scheduler: when the newest exchange was sent in which it did not condemn the worker. */
    readonly peerPromisedAtMs: readonly number[];
}
