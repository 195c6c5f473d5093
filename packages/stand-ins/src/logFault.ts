/** Faults of the log. */
export enum LogFault {
    None = "none",
    /** Calls fail with status 503 and have no effect. */
    Unavailable = "out",
    /** Calls are never answered and have no effect. */
    Silent = "silent",
    /** Appends take effect but are never answered; reads work. */
    AnswersLost = "answers-lost",
}
