import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";

/** Durations may exceed their estimates by this factor: callers' estimates are wrong by 50% or more. */
const DURATION_MARGIN = 2;

/**
 * Whether a demand's job would miss its target on the slowest worker of the round, so that its tasks prefer other
 * workers. Left out are long-running tasks, whose end isn't waited for, and jobs whose result is no longer useful.
 */
export function hasLittleSlack(demand: StepDemand, { speeds }: Pick<StartRules, "speeds">): boolean {
    const { lateSlackMs, step: { spec } } = demand;
    if (speeds === undefined || spec.longRunning || lateSlackMs <= 0) {
        return false;
    }
    // Read last, as it is computed when it is read.
    const { maxSlowness } = demand;
    return maxSlowness !== undefined && maxSlowness < speeds.worstSlowness * DURATION_MARGIN;
}
