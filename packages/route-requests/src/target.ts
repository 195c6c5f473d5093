/** A replica that this entry may send requests to, under a grant. Times are monotonic milliseconds. */
export interface Target {
    readonly worker: string;
    readonly service: string;
    readonly address: string;
    readonly port: number;
    /** The worker lease under which the grant was given. */
    readonly token: number;
    /** The scheduler that gave it. */
    readonly grantedBy: string;
    readonly limit: number;
    readonly expiresAtMs: number;
}
