/** A decision to bind a task to a worker. */
export interface Placement {
    readonly taskId: string;
    readonly worker: string;
    /** Whether the task is bound ahead: the worker is full now and will run it once capacity is free. */
    readonly ahead: boolean;
}
