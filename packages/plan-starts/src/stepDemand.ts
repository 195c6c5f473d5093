import type { StepRun, Task } from "@sardinestage/track-jobs";

/** The waiting tasks of a step and their urgency. */
export interface StepDemand {
    readonly step: StepRun;
    readonly waiting: readonly Task[];
    /** Whether any task of the step's occurrence has run. */
    readonly isStarted: boolean;
    /** Workers reserved for the step by preempting other tasks there, one entry per task. */
    readonly reservedWorkerIds?: readonly string[];
    /** Length of the remaining critical path, in milliseconds. */
    readonly remainingMs: number;
    /** How long the step has been ready, in milliseconds. */
    readonly waitedMs: number;
    /** How much longer the step can wait without its job missing its target time, in milliseconds; negative if late. */
    readonly slackMs: number;
    /** How much longer the step can wait until the job's result is no longer useful, in milliseconds. */
    readonly lateSlackMs: number;
    /**
     * How many times as long as expected the step's tasks may take without its job missing its target time; below 1 if
     * the job is late. Undefined if the speed of workers doesn't matter.
     */
    readonly maxSlowness?: number;
    /**
     * Rank by the share of the step's queue, the lowest first; undefined if queues don't share capacity. Set once all
     * demands of the round are known.
     */
    shareRank?: number;
}
