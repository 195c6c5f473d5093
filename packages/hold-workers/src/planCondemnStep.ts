import { CondemnStep } from "./condemnStep.js";
import type { CondemnView } from "./condemnView.js";

interface CondemnLimits {
    readonly condemnAfterMs: number;
    readonly startupQuietMs: number;
    /** Sum of the holder's authority, the task lease and the clock margin. After it nothing can run on the worker. */
    readonly waitMs: number;
}

/**
 * Decides the next step towards a worker that does not answer. While the platform lists the VM, tasks on it may have
 * completed unnoticed, so the worker is waited for. An operator who knows that the worker is lost drains it.
 *
 * Silence alone never moves a task. The announcement must first be in the log for as long as a holder that still
 * reaches the worker could act without having read it. The log must have been readable for all that time, since
 * otherwise the holder could not contest the announcement.
 */
export function planCondemnStep(view: CondemnView, limits: CondemnLimits): CondemnStep {
    if (view.announcedAtMs !== undefined) {
        const isAnswering = view.silentSinceMs === undefined;
        const hasLogGap = view.logContinuousSinceMs > view.announcedAtMs;
        if (isAnswering || hasLogGap) {
            return CondemnStep.Withdraw;
        }
        return view.nowMs - view.announcedAtMs >= limits.waitMs ? CondemnStep.Release : CondemnStep.Nothing;
    }
    const silentLongEnough = view.silentSinceMs !== undefined
        && view.nowMs - view.silentSinceMs >= limits.condemnAfterMs;
    const isStartupOver = view.nowMs - view.startedAtMs >= limits.startupQuietMs;
    const isLogReadable = view.logContinuousSinceMs <= view.nowMs;
    return view.hasTasks && view.isRemovedOrDrained && view.isPreferred && !view.isCondemned && silentLongEnough
            && isStartupOver
            && isLogReadable
        ? CondemnStep.Announce
        : CondemnStep.Nothing;
}
