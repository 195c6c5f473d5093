/** Kinds of records in a failure domain's task stream. */
export enum TaskRecordKind {
    Submit = "submit",
    Cancel = "cancel",
    /** A scheduler holds a worker's lease with this token. */
    Hold = "hold",
    /** Binds a task to a worker, whose lease holder runs the task's next attempts there. */
    Bind = "bind",
    /** Returns a task to waiting, because it certainly does not run on its old worker any more. */
    Release = "release",
    Finish = "finish",
    /** Sets a waiting task aside, because no worker of the failure domain is large enough. */
    Park = "park",
    Unpark = "unpark",
    /** Announces that a silent worker's tasks will be released unless a scheduler that reaches it contests this. */
    Condemn = "condemn",
    /** Ends a condemnation, because the worker answers, or because its announcer withdrew or abandoned it. */
    Contest = "contest",
    /** Copies the state of an open task before the log's retention drops its records. */
    Carry = "carry",
    /** Adds an entry to the logbook without changing the task's state. */
    Event = "event",
}
