import type { StepRun, Task } from "@sardinestage/track-jobs";

/** A step that has tasks to start. */
interface ReadyStep {
    readonly step: StepRun;
    /** The tasks that wait for a worker. */
    readonly waiting: readonly Task[];
}

/** The steps that have tasks to start, and when the next occurrence is due. */
export interface ReadyList {
    /** In the order in which their jobs were added. */
    readonly steps: readonly ReadyStep[];
    /** When the next occurrence of any job is due, in Unix milliseconds; undefined if there is none. */
    readonly nextDueMs: number | undefined;
}
