/** A running replica that can take requests. */
export interface ReplicaEndpoint {
    readonly worker: string;
    readonly service: string;
    readonly address: string;
    readonly port: number;
    /** Requests that its replicas there are expected to work on at once. */
    readonly concurrency: number;
}
