/** A worker's score at one version of its free capacity. */
export interface RankedWorker {
    /** Index into the workers of the round. */
    readonly index: number;
    readonly score: number;
    /** How often the worker's free capacity had changed when the score was computed. */
    readonly version: number;
}
