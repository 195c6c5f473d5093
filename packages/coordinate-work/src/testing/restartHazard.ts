/** What may happen in a play beside restarts of workers under their ids and delays of calls and answers. */
export enum RestartHazard {
    LostAnswers = "lost-answers",
    /** Calls get no answer and are carried out 2 to 12 s late if the worker hasn't restarted by then. */
    LateOrders = "late-orders",
    /** Late orders also reach the worker's next life, two seconds after the coordinator's first renewal has. */
    RenewedLife = "renewed-life",
    /** Late orders also reach the worker's next life from its first moment. */
    NewLife = "new-life",
    Takeovers = "takeovers",
    Cancellations = "cancellations",
    /** Workers are out of reach for a while, and some restart meanwhile. */
    Cuts = "cuts",
    /** Workers' clocks are slow, some workers refuse what doesn't fit, and some calls meet an unhealthy worker. */
    OddWorkers = "odd-workers",
    /** Entries of workers that are up are missing from the list for up to two seconds. */
    MissingEntries = "missing-entries",
    /** The store is away for up to four seconds, and loses answers. */
    StoreFaults = "store-faults",
    /** Each call and each answer takes some milliseconds of the coordinator's only thread. */
    BusyThread = "busy-thread",
}
