/** Kinds of work whose time on the event loop is measured. */
export enum MeteredWork {
    /** Planning rounds: deciding which task starts on which worker. */
    Rounds,
    /** Applying the workers' reports to the state of the coordinator. */
    Answers,
    /** Deciding at which pace best-effort tasks run. */
    Pace,
}
