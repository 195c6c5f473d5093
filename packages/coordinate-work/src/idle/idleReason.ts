/** Why a task that is due has no run that is known to be active. */
export enum IdleReason {
    // The task waits for a worker.
    /** After a takeover, no start may begin yet. */
    StartGateClosed = "StartGateClosed",
    /** This coordinator may not start tasks now. */
    NoAuthority = "NoAuthority",
    /** So many starts wait to be sent that no round plans more. */
    StartsHeldBack = "StartsHeldBack",
    /** The last round didn't come to the task's step. */
    NotReached = "NotReached",
    /** The step found no worker; why isn't examined for so many steps at once. */
    NotExamined = "NotExamined",
    /** A worker has the capacity, but gets no start, for example since it is on trial. */
    WorkersWithheld = "WorkersWithheld",
    /** The allowed workers are reserved for other tasks in this round, or get no further start in it. */
    WorkersReserved = "WorkersReserved",
    NoWorkerAllowed = "NoWorkerAllowed",
    Accelerators = "Accelerators",
    Memory = "Memory",
    Processor = "Processor",
    /** The task waits for its own reserved start. */
    OwnReservation = "OwnReservation",
    StepLimit = "StepLimit",
    Advice = "Advice",
    Headroom = "Headroom",
    Gang = "Gang",
    /** Workers of an evacuated failure domain would have room. */
    Evacuated = "Evacuated",
    /** There is a worker; the round's limits left the task to the next round. */
    NextRound = "NextRound",

    // A run has been ordered.
    /** The start waits until it is recorded. */
    RecordPending = "RecordPending",
    /** The start waits to be sent. */
    StartQueued = "StartQueued",
    /** The start's answer is outstanding. */
    StartUnderWay = "StartUnderWay",
    /** The start got no answer; a report has to tell what became of it. */
    StartUnanswered = "StartUnanswered",
    /** The worker has accepted the start, but no report lists the run yet. */
    StartNotListed = "StartNotListed",
    /** The run's stop has been ordered, and no report lists its end yet. */
    StopPending = "StopPending",

    // A run counts as active on a worker that doesn't confirm it.
    /** No worker holds the run, although the task counts as active. */
    WorkerUnknown = "WorkerUnknown",
    /** The platform lists the worker no more, and its lease hasn't expired. */
    WorkerUnlisted = "WorkerUnlisted",
    /** The worker doesn't answer, and its lease hasn't expired. */
    WorkerSilent = "WorkerSilent",
    /** No report of the worker's present life has been applied yet. */
    WorkerUnreported = "WorkerUnreported",
    /** The worker answers, but its reports don't list the run, or can't be applied. */
    RunNotListed = "RunNotListed",
}
