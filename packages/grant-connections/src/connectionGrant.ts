/** Permission for an entry to have up to `limit` requests for a service open at a worker at once. */
export interface ConnectionGrant {
    readonly worker: string;
    /** Token of the worker lease under which the grant was given. An entry ignores grants with an older token. */
    readonly token: number;
    readonly service: string;
    readonly address: string;
    readonly port: number;
    readonly limit: number;
    /** Time to live in milliseconds. The entry counts it from when it sent its pull. */
    readonly ttlMs: number;
}
