import type { PaceRules } from "./paceRules.js";
import type { PaceState } from "./paceState.js";

/**
 * Whether a worker needs a new pacing decision before its next measurements are due. This is the case when a serving
 * task begins to exceed its latency target, when all are back below it, or when one has exceeded it for as long as the
 * next countermeasure (pausing some tasks, pausing all, stopping them) waits.
 *
 * @param state State after the last decision.
 * @param isOverTarget Whether a serving task exceeds its latency target.
 * @param decidedAtMs When the last decision was made, in steady milliseconds.
 * @param nowMs Steady time.
 */
export function isPaceDecisionDue(
    state: PaceState,
    isOverTarget: boolean,
    decidedAtMs: number,
    nowMs: number,
    rules: Pick<PaceRules, "pauseAfterMs" | "pauseAllAfterMs" | "stopAfterMs">,
): boolean {
    const { overSinceMs } = state;
    if (!isOverTarget || overSinceMs === undefined) {
        return isOverTarget || overSinceMs !== undefined;
    }
    return [rules.pauseAfterMs, rules.pauseAllAfterMs, rules.stopAfterMs]
        .some(afterMs => decidedAtMs - overSinceMs < afterMs && nowMs - overSinceMs >= afterMs);
}
