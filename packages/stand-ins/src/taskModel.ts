/** Behaviour of a task on a stand-in worker; the task's payload contains it as JSON. */
export interface TaskModel {
    /** Batch: run time at full speed, in milliseconds. */
    readonly workMs?: number;
    /** Service: time that one request takes without interference, in milliseconds. */
    readonly serviceMs?: number;
    /** Service: number of requests that a replica processes at once. */
    readonly concurrency?: number;
    /** Actual processor usage; the declared size if absent. */
    readonly trueCpuMillis?: number;
    /** The attempt fails after this many milliseconds. */
    readonly failsAfterMs?: number;
}
