import type { UnevenWorker } from "./unevenWorker.js";

/** The workers of a planning round that are slow or cold. */
export interface WorkerSpeeds {
    /** How many times as long as expected tasks may take on the slowest of them. */
    readonly worstSlowness: number;
    /** These workers by id. All others run tasks about as fast as expected. */
    readonly uneven: ReadonlyMap<string, UnevenWorker>;
}
