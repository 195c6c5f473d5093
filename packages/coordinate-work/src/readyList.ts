import type { StepRun, Task } from "@sardinestage/track-jobs";

/** A step of which tasks could start. */
interface ReadyStep {
    readonly step: StepRun;
    readonly waiting: readonly Task[];
}

/** What could start. */
export interface ReadyList {
    /** In the order in which their jobs came. */
    readonly steps: readonly ReadyStep[];
    /** When the next occurrence of any job is due, in Unix milliseconds, if one is. */
    readonly nextDueMs: number | undefined;
}
