import type { ExplainOutcome } from "./explainOutcome.js";
import type { StepExplanation } from "./stepExplanation.js";

/** The answer to a question about a job's placement. */
export interface PlacementExplanation {
    readonly outcome: ExplainOutcome;
    /** What is wrong with the job; for `InvalidJob`. */
    readonly problem?: string;
    /** Whether the coordinator may start tasks now; it may not while it takes over or lacks authority. */
    readonly mayStart: boolean;
    readonly steps: readonly StepExplanation[];
    /** Number of steps with waiting tasks that are left out of the answer. */
    readonly leftOutCount: number;
}
