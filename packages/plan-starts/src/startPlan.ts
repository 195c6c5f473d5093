import type { PlannedStart } from "./plannedStart.js";
import type { StepDemand } from "./stepDemand.js";

/** The result of a planning round. */
export interface StartPlan {
    readonly starts: readonly PlannedStart[];
    /** Demands with at least one task that didn't fit on any worker, the most urgent first. */
    readonly unmet: readonly StepDemand[];
    /** Demands with at least one task that waits for a trusted worker although others have room. */
    readonly heldBack: readonly StepDemand[];
}
