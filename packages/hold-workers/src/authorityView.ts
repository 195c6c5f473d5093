/** The facts from which a scheduler computes its authority to act for a worker. */
export interface AuthorityView {
    /** Whether a condemnation of the worker is in force according to the log. */
    readonly isCondemned: boolean;
    /** When the newest read that reached the end of the log was sent, in monotonic milliseconds. */
    readonly logFreshAtMs: number;
    /**
     * For each listed peer, when the newest exchange in which it did not condemn the worker was sent, in monotonic
     * milliseconds; minus infinity without one.
     */
    readonly peerConfirmedAtMs: readonly number[];
}
