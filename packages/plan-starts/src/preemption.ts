import type { Task } from "@sardinestage/track-jobs";

/** The tasks to stop on one worker so that a task of higher priority fits. */
export interface Preemption {
    readonly workerId: string;
    readonly victims: readonly Task[];
}
