import type { StepSpec } from "@sardinestage/describe-work";
import type { Task } from "@sardinestage/track-jobs";
import type { PlaceView } from "./placeView.js";
import type { WorkerRoom } from "./workerRoom.js";

/** What a round may not do. */
export interface StartRules {
    /** At most so many starts in one round; the next round follows at once. */
    readonly maxStarts: number;
    /** How long a filling task waits for a place where serving tasks don't suffer, in milliseconds. */
    readonly longestWaitMs: number;
    /** Whether the advice service, where the queue has one, lets the task run there; all tasks of a step alike. */
    readonly isAdvised: (task: Task, workerId: string) => boolean;
    /** What is known of a task beside those that a worker has; tasks of one image, size and kind are alike. */
    readonly describePlace: (room: WorkerRoom, spec: StepSpec) => PlaceView;
}
