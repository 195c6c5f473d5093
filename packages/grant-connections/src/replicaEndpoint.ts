/** A service on a worker whose replicas there accept requests. */
export interface ReplicaEndpoint {
    readonly worker: string;
    readonly service: string;
    readonly address: string;
    readonly port: number;
    /** How many requests the replicas on the worker are expected to process at once. */
    readonly concurrency: number;
}
