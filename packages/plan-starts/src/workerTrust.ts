/** How likely a worker is sound, by the ends of its recent runs; the higher, the likelier. */
export enum WorkerTrust {
    /** The last run that tells anything failed, or made no progress. */
    Suspect,
    /** No recent run tells whether the worker is sound. */
    Unknown,
    /** A run that was started after the last failure has recently ended as done. */
    Proven,
}
