/** Kinds of record in a failure domain's task stream. */
export enum TaskRecordKind {
    Submit = "submit",
    Cancel = "cancel",
    /** A scheduler holds a worker's lease under this token. */
    Hold = "hold",
    /** A task is tied to a worker; the worker's holder runs its next attempts there. */
    Bind = "bind",
    /** A task is free to be bound anew; it certainly doesn't run on its old worker. */
    Release = "release",
    Finish = "finish",
    Park = "park",
    Unpark = "unpark",
    /** Announces that a silent worker's tasks will be released unless its holder objects. */
    Condemn = "condemn",
    /** The holder objects: the worker answers. */
    Contest = "contest",
    /** An open task written once more, before retention drops it. */
    Carry = "carry",
    /** An entry of the logbook; changes nothing. */
    Event = "event",
}
