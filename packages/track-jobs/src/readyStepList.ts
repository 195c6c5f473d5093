import type { StepRun } from "./stepRun.js";

/** Steps that are ready and have waiting tasks. */
export interface ReadyStepList {
    readonly steps: readonly StepRun[];
    /** Number of the first ready step that wasn't listed; undefined if all were. */
    readonly next?: number;
}
