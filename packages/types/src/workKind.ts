/** The two kinds of work that share the workers. */
export enum WorkKind {
    LatencyCritical = "latency-critical",
    Batch = "batch",
}
