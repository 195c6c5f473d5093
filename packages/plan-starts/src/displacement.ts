import type { Task } from "@sardinestage/track-jobs";

/** What is stopped on one worker so that a task fits. */
export interface Displacement {
    readonly workerId: string;
    readonly victims: readonly Task[];
}
