import type { Resources } from "./resources.js";

/** A service as operators configure it. */
export interface ServiceSpec {
    readonly name: string;
    readonly team: string;
    /** Wanted number of replicas by name of the failure domain. */
    readonly replicas: Readonly<Record<string, number>>;
    /** Declared size of one replica. */
    readonly size: Resources;
    /** Number of requests that one replica is expected to serve concurrently. */
    readonly concurrency: number;
    readonly payload: string;
}
