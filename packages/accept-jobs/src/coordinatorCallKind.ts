/** Kinds of calls that a VM sends to the coordinator. */
export enum CoordinatorCallKind {
    /** Asks for the state of a job. */
    GetState = 1,
    /** Asks how many jobs of a queue are waiting. */
    GetPending = 2,
    /** Appends records on behalf of a VM that gets no answer from the store. */
    Append = 3,
    /** Notifies the coordinator of a cancellation that is already in the store. */
    Cancel = 4,
    /** Asks where the tasks of a job would start now, and why. */
    Explain = 5,
    /** Asks whether there is room for a new job. */
    Admit = 6,
}
