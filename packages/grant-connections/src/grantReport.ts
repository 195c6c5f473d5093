/** What an entry holds at one worker for one service, as it reports when it asks for grants. */
export interface GrantReport {
    readonly worker: string;
    readonly token: number;
    readonly service: string;
    /** The limit that the entry goes by; 0 when its grant has lapsed. */
    readonly limit: number;
    readonly inFlight: number;
}
