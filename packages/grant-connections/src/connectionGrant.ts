/** The right to have so many requests open at one replica's worker at once. */
export interface ConnectionGrant {
    readonly worker: string;
    /** The worker lease under which it was given; an entry ignores grants of an older one. */
    readonly token: number;
    readonly service: string;
    readonly address: string;
    readonly port: number;
    readonly limit: number;
    /** Counted by the entry from when it sent its request. */
    readonly ttlMs: number;
}
