import type { StepRun, Task } from "@sardinestage/track-jobs";

/** The tasks of a step that wait for a worker, and how urgent they are. */
export interface StepDemand {
    readonly step: StepRun;
    readonly waiting: readonly Task[];
    /** Whether any task of its occurrence has run. */
    readonly isStarted: boolean;
    /** Workers on which other work was stopped to make room for tasks of the step, one entry a task. */
    readonly promised?: readonly string[];
    /** The longest chain of work that is left, in milliseconds. */
    readonly remainingMs: number;
    /** How long the step has been ready, in milliseconds. */
    readonly waitedMs: number;
    /** Time left until the job misses its target if it starts now, in milliseconds. */
    readonly slackMs: number;
    /** Time left until it is so late that nobody gains any more, in milliseconds. */
    readonly lateSlackMs: number;
}
