/** The grant that an entry holds for one service at one worker, reported with each pull. */
export interface GrantReport {
    readonly worker: string;
    readonly token: number;
    readonly service: string;
    /** The limit that the entry applies; 0 when its grant has expired. */
    readonly limit: number;
    /** Number of requests that the entry has open there. */
    readonly inFlight: number;
}
