/** What can be wrong with the log. */
export enum LogFault {
    None = "none",
    /** Calls fail without effect. */
    Out = "out",
    /** Calls are not answered, without effect. */
    Silent = "silent",
    /** Appends take effect and their answers are lost. */
    AnswersLost = "answers-lost",
}
