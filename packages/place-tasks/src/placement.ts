/** A task and the worker that it should be bound to. */
export interface Placement {
    readonly taskId: string;
    readonly worker: string;
    /** The worker is full now; the task is bound ahead of need. */
    readonly ahead: boolean;
}
