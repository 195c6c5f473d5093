/** Renews a worker's lease, acknowledges ended runs and asks for the worker's runs. */
export interface LeaseRenewal {
    /** The coordinator's fencing token. */
    readonly fence: number;
    /**
     * The life of the worker, as `LeaseReport.bornMs` names it, to which the two following fields belong; 0 if no life
     * has answered yet. Another life that answers must not be given them: it only reports. Undefined in a call of an
     * earlier version, which names no life.
     */
    readonly bornMs: number | undefined;
    /** Ended runs up to this `EndedRun.number` are recorded in the store; the worker may forget them. */
    readonly lastRecordedEnd: number;
    /** When the worker's lease expires, on the worker's clock; undefined leaves the lease unchanged. */
    readonly leaseUntilMs: number | undefined;
    /** How long the worker may delay its answer until a run ends (long polling), in milliseconds. */
    readonly waitMs: number;
}
