/** Renews a worker's lease, acknowledges ended runs and asks for the worker's runs. */
export interface LeaseRenewal {
    /** The coordinator's fencing token. */
    readonly fence: number;
    /** Ended runs up to this `EndedRun.number` are recorded in the store; the worker may forget them. */
    readonly lastRecordedEnd: number;
    /** When the worker's lease expires, on the worker's clock; undefined leaves the lease unchanged. */
    readonly leaseUntilMs: number | undefined;
    /** How long the worker may delay its answer until a run ends (long polling), in milliseconds. */
    readonly waitMs: number;
}
