import type { StepSpec } from "@sardinestage/describe-work";
import type { Task } from "@sardinestage/track-jobs";
import type { PlaceView } from "./placeView.js";
import type { WorkerRoom } from "./workerRoom.js";

/** Limits of a planning round, and its access to placement data. */
export interface StartRules {
    /** Maximum number of starts in one round; the next round follows at once. */
    readonly maxStarts: number;
    /** How long a best-effort task waits for a worker where no serving task nears its target, in milliseconds. */
    readonly longestWaitMs: number;
    /** Whether the queue's advice service, if any, allows the task on the worker; the same for all tasks of a step. */
    readonly isAdvised: (task: Task, workerId: string) => boolean;
    /** Estimates the interference of a task with the tasks on a worker; equal for tasks of one image, size and kind. */
    readonly describePlace: (worker: WorkerRoom, spec: StepSpec) => PlaceView;
}
