import type { TaskRef } from "@sardinestage/describe-work";

/** Order to start a run of a task on a worker. */
export interface StartOrder {
    readonly task: TaskRef;
    /** Number of the run; each new run of a task has a higher one, from 1. */
    readonly run: number;
    /** The job's payload, unchanged as submitted. */
    readonly payload: string;
    /** When the worker's lease expires, on the worker's clock. The worker refuses the order after that time. */
    readonly leaseUntilMs: number;
    /** The coordinator's fencing token. */
    readonly fence: number;
    /** Checkpoint to resume from; empty to start from the beginning. */
    readonly checkpoint: string;
    /** The advice service's ticket; empty if the queue needs none. */
    readonly ticket: string;
}
