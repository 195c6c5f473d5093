/** A replica of a service to which a grant allows this entry to send requests. Times are monotonic milliseconds. */
export interface Target {
    readonly worker: string;
    readonly service: string;
    readonly address: string;
    readonly port: number;
    /** Fencing token of the worker lease under which the grant was given. */
    readonly token: number;
    /** The scheduler that gave the grant. */
    readonly grantedBy: string;
    /** Most requests that this entry may have in flight to the replica. */
    readonly limit: number;
    readonly expiresAtMs: number;
}
