/** Kinds of orders that the holder of a worker sends to it. */
export enum OrderKind {
    Start = "start",
    /** Stop without a checkpoint, because the work is no longer needed. */
    Stop = "stop",
    /** Stop once a checkpoint is confirmed, because the work continues on another worker or later. */
    Evict = "evict",
    /** Take a share of its processors away from a task. */
    Throttle = "throttle",
}
