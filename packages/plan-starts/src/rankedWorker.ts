/** A room as it was when it was judged. */
export interface RankedWorker {
    /** Its place among the round's rooms. */
    readonly index: number;
    readonly score: number;
    /** How often it had been taken from by then. */
    readonly version: number;
}
