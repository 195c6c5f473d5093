import { CondemnStep } from "./condemnStep.js";
import type { CondemnView } from "./condemnView.js";

interface CondemnLimits {
    readonly condemnAfterMs: number;
    readonly startupQuietMs: number;
    /** Authority, task lease and clock margin together: after that nothing can run on the worker. */
    readonly waitMs: number;
}

/**
 * Decides about a worker that doesn't answer. While the platform lists its VM, work there may have come to its end
 * unseen, so it is waited for; an operator who knows better drains the worker. Suspicion alone never moves a task: the announcement stands in the log
 * for as long as a holder that is still in contact could act without seeing it, and the log must have been readable
 * all that time, or else the holder had no chance to object.
 */
export function planCondemnStep(view: CondemnView, limits: CondemnLimits): CondemnStep {
    if (view.announcedAtMs !== undefined) {
        const answers = view.silentSinceMs === undefined;
        const gap = view.logContinuousSinceMs > view.announcedAtMs;
        if (answers || gap) {
            return CondemnStep.Withdraw;
        }
        return view.nowMs - view.announcedAtMs >= limits.waitMs ? CondemnStep.Release : CondemnStep.Nothing;
    }
    const silentLongEnough = view.silentSinceMs !== undefined
        && view.nowMs - view.silentSinceMs >= limits.condemnAfterMs;
    const settledIn = view.nowMs - view.startedAtMs >= limits.startupQuietMs;
    const logReadable = view.logContinuousSinceMs <= view.nowMs;
    return view.hasTasks && view.isGivenUp && view.isPreferred && !view.isCondemned && silentLongEnough && settledIn
            && logReadable
        ? CondemnStep.Announce
        : CondemnStep.Nothing;
}
