/** Outcomes of the requests that simulated callers sent. */
export interface TrafficTotals {
    sent: number;
    answered: number;
    /** Requests that did not run. */
    refused: number;
    /** Requests that may have run. */
    unknown: number;
    /** Requests whose connection broke or timed out before the answer was complete. */
    broken: number;
    /** Answers that carry another request's id, or a body that differs from the one sent. */
    wrong: number;
    /** Latencies of answered requests, each of the last try alone. */
    readonly latenciesMs: number[];
    /** Number of requests that were not answered, by reason. */
    readonly reasons: Map<string, number>;
}
