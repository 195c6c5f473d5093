/** Limits of what all callers together may hold of one process, and of what one connection may. */
export interface CallerLimits {
    readonly maxConnections: number;
    /** Limit of the bytes of bodies, unread and unsent data, with an estimate for decoded requests. */
    readonly maxHeldBytes: number;
    /** Limit of the requests that are being answered. */
    readonly maxOpenRequests: number;
    /** Limit of the requests of one connection that are taken up before earlier ones are answered. */
    readonly maxPipelinedRequests: number;
    /** Time without progress of a body, or of an answer that the caller doesn't read, after which it is given up. */
    readonly bodyProgressMs: number;
}
