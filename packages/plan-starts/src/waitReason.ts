/** Why a waiting task found no worker: the first condition that no worker meets together with those before it. */
export enum WaitReason {
    /** No worker of the queue's service has the required label. */
    NotAllowed,
    /** The allowed workers are silent, draining, paused, on probation, or get no further start in this round. */
    WorkersUnusable,
    Accelerators,
    Memory,
    Processor,
    /** Workers with room keep it for reserved starts of other tasks. */
    ReservedForOthers,
    /** The task waits for its own reserved start. */
    OwnReservation,
    /** The step has as many tasks on each worker as it may have there. */
    StepLimit,
    /** The advice service allows none of the workers, or hasn't answered yet. */
    Advice,
    /** A best-effort task waits, since serving tasks would come too close to their latency targets. */
    Headroom,
    /** A gang doesn't fit as a whole. */
    Gang,
    /** Workers of an evacuated failure domain would have room. */
    Evacuated,
    /** There is a worker; the round's limits leave the task to the next round. */
    NextRound,
}
