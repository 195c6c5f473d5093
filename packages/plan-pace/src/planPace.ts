import type { BestEffortTaskView } from "./bestEffortTaskView.js";
import type { PacePlan } from "./pacePlan.js";
import type { PaceRules } from "./paceRules.js";
import type { PaceState } from "./paceState.js";
import type { ServingTaskView } from "./servingTaskView.js";

/** Headroom that serving tasks keep as a margin, because measurements are noisy and load varies. */
const TARGET_HEADROOM = 1.2;
/** Expected headroom below which best-effort tasks are throttled: the least that placement leaves (1 / 0.88). */
const THROTTLE_HEADROOM = 1.14;
/** Headroom loss below which a best-effort task counts as not interfering and isn't throttled. */
const MIN_INTERFERENCE = 0.12;
const FULL_PERCENT = 100;
/** Paces are multiples of this step. */
const STEP_PERCENT = 10;

/**
 * Decides the pace of the best-effort tasks on one worker.
 *
 * The headroom that serving tasks are expected to have above `TARGET_HEADROOM` without best-effort tasks is allocated
 * to the best-effort tasks, those that take the least of it first. If a serving task still stays over its latency
 * target, the best-effort tasks that interfere are paused, and later all of them.
 *
 * Headroom varies, measurements are noisy, and each change of pace is a remote call. So tasks are throttled at once,
 * but only where expected headroom falls below `THROTTLE_HEADROOM`. They speed up in large steps and after a delay.
 *
 * @param servingTasks The serving tasks on the worker.
 * @param bestEffortTasks The best-effort tasks on the worker.
 * @param state State after the last decision.
 * @param nowMs Steady time.
 */
export function planPace<Key>(
    servingTasks: readonly ServingTaskView[],
    bestEffortTasks: readonly BestEffortTaskView<Key>[],
    state: PaceState,
    nowMs: number,
    rules: PaceRules,
): PacePlan<Key> {
    const isOverTarget = servingTasks.some(servingTask =>
        servingTask.headroom !== undefined && servingTask.headroom < 1
    );
    const overSinceMs = isOverTarget ? state.overSinceMs ?? nowMs : undefined;
    const overTargetMs = overSinceMs === undefined ? 0 : nowMs - overSinceMs;
    const mustPause = overTargetMs >= rules.pauseAfterMs;
    const percents = new Map<Key, number>();
    const spareHeadrooms = servingTasks.map(computeSpareHeadroom);
    const mustThrottle = servingTasks.some((servingTask, index) =>
        isBelowThrottleHeadroom(servingTask, index, bestEffortTasks)
    );
    for (const task of [...bestEffortTasks].sort(compareInterference)) {
        const isInterfering = task.interference.some(interference => interference >= MIN_INTERFERENCE);
        const isPaused = mustPause && (isInterfering || overTargetMs >= rules.pauseAllAfterMs);
        const allowed = isPaused ? 0 : allocatePace(task, spareHeadrooms);
        const mayChange = allowed < task.percent
            ? isPaused || mustThrottle
            : nowMs >= state.noIncreaseUntilMs && isIncreaseWorthwhile(task, allowed, nowMs, rules);
        percents.set(task.key, mayChange ? allowed : task.percent);
    }
    return {
        state: { overSinceMs, noIncreaseUntilMs: mustPause ? nowMs + rules.settleMs : state.noIncreaseUntilMs },
        percents,
        mustStop: overTargetMs >= rules.stopAfterMs,
    };
}

/** Whether a serving task's expected headroom at the current paces is too small. */
function isBelowThrottleHeadroom(
    servingTask: ServingTaskView,
    index: number,
    bestEffortTasks: readonly BestEffortTaskView<unknown>[],
): boolean {
    if (servingTask.aloneHeadroom === undefined) {
        return false;
    }
    const taken = bestEffortTasks.reduce(
        (sum, { interference, percent }) => sum + interference[index] * percent / FULL_PERCENT,
        0,
    );
    return servingTask.aloneHeadroom - taken < THROTTLE_HEADROOM;
}

/** Whether a higher pace is worth a remote call: the smaller the increase, the longer it waits. */
function isIncreaseWorthwhile(
    task: BestEffortTaskView<unknown>,
    allowed: number,
    nowMs: number,
    rules: PaceRules,
): boolean {
    const gain = allowed - task.percent;
    return gain >= rules.minIncreasePercent && (nowMs - task.pacedAtMs) * gain >= rules.increaseDelayMs * FULL_PERCENT;
}

/** Compares best-effort tasks by the most headroom that they take from any serving task. */
function compareInterference(left: BestEffortTaskView<unknown>, right: BestEffortTaskView<unknown>): number {
    return Math.max(0, ...left.interference) - Math.max(0, ...right.interference);
}

/** Returns the headroom of a serving task that best-effort tasks may take. */
function computeSpareHeadroom(servingTask: ServingTaskView): number {
    return servingTask.aloneHeadroom === undefined
        ? Infinity
        : Math.max(0, servingTask.aloneHeadroom - TARGET_HEADROOM);
}

/**
 * Allocates the remaining headroom to a best-effort task as far as the task needs it, and subtracts its share: some
 * tasks at full speed get more done than all tasks throttled to nothing.
 */
function allocatePace(task: BestEffortTaskView<unknown>, spareHeadrooms: number[]): number {
    let share = 1;
    task.interference.forEach((interference, index) => {
        if (interference >= MIN_INTERFERENCE) {
            share = Math.min(share, spareHeadrooms[index] / interference);
        }
    });
    const percent = Math.floor(share * FULL_PERCENT / STEP_PERCENT) * STEP_PERCENT;
    task.interference.forEach((interference, index) =>
        spareHeadrooms[index] = Math.max(0, spareHeadrooms[index] - interference * percent / FULL_PERCENT)
    );
    return percent;
}
