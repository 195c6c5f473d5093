import type { PaceRules } from "./paceRules.js";
import type { PaceState } from "./paceState.js";
import type { ServerView } from "./serverView.js";

/** Share of the target from which filling tasks are slowed. */
const SLOW_FROM = 0.9;
/** Share of the target below which they may speed up a little. */
const CREEP_BELOW = 0.8;
/** Share of the target below which they may speed up. */
const SPEED_UP_BELOW = 0.6;
/** What remains of the allowed share at a step down. */
const STEP_DOWN = 0.6;
/** What is added to the allowed share at a step up, in percent. */
const STEP_UP_PERCENT = 25;
/** What is added close to the target, in percent. */
const CREEP_PERCENT = 8;
const FULL_PERCENT = 100;
/** A share below this is no work worth the memory. */
const LOWEST_PERCENT = 5;

/** The pace of the filling tasks on a worker, and whether slowing wasn't enough. */
interface PacePlan {
    readonly state: PaceState;
    /** Whether the filling tasks have to leave the worker. */
    readonly mustStop: boolean;
}

/**
 * Decides how fast the filling tasks of one worker may work, from the tails of the serving tasks beside them.
 * Answers interference that shows only in lagging figures: down at once and far, up in small steps.
 *
 * @param servers The serving tasks on the worker.
 * @param state What was decided last.
 * @param nowMs Steady time.
 */
export function planPace(
    servers: readonly ServerView[],
    state: PaceState,
    nowMs: number,
    rules: PaceRules,
): PacePlan {
    const worst = Math.max(0, ...servers.map(server => server.tailMs / server.targetMs));
    const overSinceMs = worst > 1 ? state.overSinceMs ?? nowMs : undefined;
    const isSettled = nowMs - state.changedAtMs >= rules.settleMs;
    const percent = isSettled ? computePercent(worst, state.percent) : state.percent;
    const changedAtMs = percent === state.percent ? state.changedAtMs : nowMs;
    const mustStop = overSinceMs !== undefined && nowMs - overSinceMs >= rules.stopAfterMs;
    return { state: { percent, overSinceMs, changedAtMs }, mustStop };
}

function computePercent(worst: number, percent: number): number {
    if (worst > 1) {
        return 0;
    }
    if (worst > SLOW_FROM) {
        const slower = Math.floor(percent * STEP_DOWN);
        return slower < LOWEST_PERCENT ? 0 : slower;
    }
    const step = worst < SPEED_UP_BELOW ? STEP_UP_PERCENT : CREEP_PERCENT;
    return worst < CREEP_BELOW ? Math.min(FULL_PERCENT, percent + step) : percent;
}
