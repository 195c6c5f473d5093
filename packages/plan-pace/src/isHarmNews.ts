import type { PaceRules } from "./paceRules.js";
import type { PaceState } from "./paceState.js";

/**
 * Whether the serving tasks of a worker call for a decision although their figures are hardly newer than at the last:
 * they have come over their target, or are back under it, or have been over it for as long as the next measure waits.
 *
 * @param state What was decided last.
 * @param isOver Whether a serving task is over its target.
 * @param decidedAtMs When that was decided, in steady milliseconds.
 * @param nowMs Steady time.
 */
export function isHarmNews(
    state: PaceState,
    isOver: boolean,
    decidedAtMs: number,
    nowMs: number,
    rules: Pick<PaceRules, "haltAfterMs" | "haltAllAfterMs" | "stopAfterMs">,
): boolean {
    const { overSinceMs } = state;
    if (!isOver || overSinceMs === undefined) {
        return isOver || overSinceMs !== undefined;
    }
    return [rules.haltAfterMs, rules.haltAllAfterMs, rules.stopAfterMs]
        .some(afterMs => decidedAtMs - overSinceMs < afterMs && nowMs - overSinceMs >= afterMs);
}
