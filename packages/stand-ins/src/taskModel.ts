/** How a stand-in worker runs a task; carried in the task's payload as JSON. */
export interface TaskModel {
    /** Batch: how long the work takes at full speed, in milliseconds. */
    readonly workMs?: number;
    /** Service: how long one request takes alone, in milliseconds. */
    readonly serviceMs?: number;
    /** Service: requests that a replica works on at once. */
    readonly concurrency?: number;
    /** The true processor use; the declared one when absent. */
    readonly trueCpuMillis?: number;
    /** The attempt fails after this many milliseconds. */
    readonly failsAfterMs?: number;
}
