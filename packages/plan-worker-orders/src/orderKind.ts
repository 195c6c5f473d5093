/** What a holder asks of its worker. */
export enum OrderKind {
    Start = "start",
    /** Stop without a checkpoint: what it did is not wanted any more. */
    Stop = "stop",
    /** Checkpoint, confirm, then stop: the work is wanted elsewhere or later. */
    Evict = "evict",
    Throttle = "throttle",
}
