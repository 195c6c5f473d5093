import type { TaskEntry } from "@sardinestage/fold-tasks";
import type { Resources, TaskSpec, WorkerTask } from "@sardinestage/types";

/** Everything that the orders to one worker are decided by. */
export interface WorkerView {
    readonly worker: string;
    readonly token: number;
    readonly capacity: Resources;
    /** What the worker reported under this token. */
    readonly tasks: readonly WorkerTask[];
    /** Tasks that the log binds to the worker. */
    readonly bound: readonly TaskEntry[];
    readonly findEntry: (taskId: string) => TaskEntry | undefined;
    /** The hold stands in the log and the authority has not lapsed. */
    readonly mayStart: boolean;
    /** The log was read to its end a short time ago. */
    readonly isLogFresh: boolean;
    /** The VM leaves, or an operator drains it. */
    readonly isLeaving: boolean;
    /** Whether a task that waits here for room could run on another worker now. */
    readonly hasRoomElsewhere: (entry: TaskEntry) => boolean;
    /** Whether no request can be open at a replica. */
    readonly isIdle: (taskId: string) => boolean;
    readonly maxFailures: number;
    readonly estimateSize: (spec: TaskSpec) => Resources;
    /** Reactions that were decided on. */
    readonly reactions: readonly WorkerReaction[];
}

/** A step against interference. */
interface WorkerReaction {
    readonly taskId: string;
    /** Share of the processors to take away; 1 evicts. */
    readonly throttle: number;
    readonly reason: string;
}
