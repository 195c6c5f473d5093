import type { Resources } from "./resources.js";

/** A service as configured by operators. */
export interface ServiceSpec {
    readonly name: string;
    readonly team: string;
    /** Replicas wanted in each failure domain named here. */
    readonly replicas: Readonly<Record<string, number>>;
    readonly size: Resources;
    /** Requests that one replica is expected to serve at once. */
    readonly concurrency: number;
    readonly payload: string;
}
