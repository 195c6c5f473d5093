/** What became of a stream of callers' requests. */
export interface TrafficTotals {
    sent: number;
    answered: number;
    refused: number;
    unknown: number;
    /** Connections that broke before the answer was whole. */
    broken: number;
    /** Answers that were not the request's own, or not whole. */
    wrong: number;
    readonly latenciesMs: number[];
    readonly reasons: Map<string, number>;
}
