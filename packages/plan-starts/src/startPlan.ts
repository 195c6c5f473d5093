import type { PlannedStart } from "./plannedStart.js";
import type { StepDemand } from "./stepDemand.js";

/** What a planning round decided. */
export interface StartPlan {
    readonly starts: readonly PlannedStart[];
    /** Demands that found no room for at least one task, the most urgent first. */
    readonly unmet: readonly StepDemand[];
}
