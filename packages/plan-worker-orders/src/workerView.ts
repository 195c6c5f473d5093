import type { TaskEntry } from "@sardinestage/fold-tasks";
import type { Resources, TaskSpec, WorkerTask } from "@sardinestage/types";

/** Input from which the orders to one worker are planned. */
export interface WorkerView {
    readonly worker: string;
    readonly token: number;
    readonly capacity: Resources;
    /** Tasks that the worker reported under this token. */
    readonly tasks: readonly WorkerTask[];
    /** Tasks that are bound to the worker according to the log. */
    readonly bound: readonly TaskEntry[];
    readonly findEntry: (taskId: string) => TaskEntry | undefined;
    /** Whether tasks may be started: the hold record is in the log and the holder's authority has not expired. */
    readonly mayStart: boolean;
    /** Whether this process has appended a record under this id and not read it back, so that the log may hold it. */
    readonly isPending: (recordId: string) => boolean;
    /**
     * The highest attempt of a task whose start under this token got no answer, so that the worker may still carry it
     * out; `undefined` when there is none.
     */
    readonly findOpenStart: (taskId: string) => number | undefined;
    /** Whether the log was read to its end a short time ago. */
    readonly isLogFresh: boolean;
    /** Whether the worker's VM is being removed, or an operator drains the worker. */
    readonly isLeaving: boolean;
    /** Whether another worker has enough free capacity now for a task that does not fit on this one. */
    readonly hasCapacityElsewhere: (entry: TaskEntry) => boolean;
    /** Whether no request can be open at a replica, so that the replica can be stopped. */
    readonly isIdle: (taskId: string) => boolean;
    readonly maxFailures: number;
    readonly estimateSize: (spec: TaskSpec) => Resources;
    /** Throttling and eviction steps for running tasks of this worker. */
    readonly reactions: readonly WorkerReaction[];
}

/** A step against interference between tasks, or for a preemption. */
interface WorkerReaction {
    readonly taskId: string;
    /** Share of the task's processors to take away; 1 evicts the task. */
    readonly throttle: number;
    readonly reason: string;
}
