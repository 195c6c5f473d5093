import type { FillerView } from "./fillerView.js";
import type { PacePlan } from "./pacePlan.js";
import type { PaceRules } from "./paceRules.js";
import type { PaceState } from "./paceState.js";
import type { ServerView } from "./serverView.js";

/** Headroom that serving tasks are to keep: figures are rough, and load swings. */
const AIM_HEADROOM = 1.2;
/** Headroom below which the aim is in danger: as little as the choice of a place leaves. */
const DANGER_HEADROOM = 1.14;
/** A filling task that takes less headroom than this is left alone. */
const HARMLESS = 0.12;
const FULL_PERCENT = 100;
/** Paces are multiples of this. */
const STEP_PERCENT = 10;

/**
 * Decides how fast the filling tasks of one worker may work. What serving tasks are expected to have above the aim
 * without them goes to those that take least of it first. Where that doesn't help, what does harm stands still for a
 * while, then everything. Headroom swings, figures are rough, and each change is a call: tasks slow down at once where
 * the aim is in danger, and not before; they speed up by large steps, and not too often.
 *
 * @param servers The serving tasks on the worker.
 * @param fillers The filling tasks on it.
 * @param state What was decided last.
 * @param nowMs Steady time.
 */
export function planPace<Key>(
    servers: readonly ServerView[],
    fillers: readonly FillerView<Key>[],
    state: PaceState,
    nowMs: number,
    rules: PaceRules,
): PacePlan<Key> {
    const isOver = servers.some(server => server.headroom !== undefined && server.headroom < 1);
    const overSinceMs = isOver ? state.overSinceMs ?? nowMs : undefined;
    const overMs = overSinceMs === undefined ? 0 : nowMs - overSinceMs;
    const mustHalt = overMs >= rules.haltAfterMs;
    const percents = new Map<Key, number>();
    const lefts = servers.map(computeLeft);
    const isDanger = servers.some((server, index) => isInDanger(server, index, fillers));
    for (const filler of [...fillers].sort(compareHarm)) {
        const isHarmful = filler.harms.some(harm => harm >= HARMLESS);
        const isHalted = mustHalt && (isHarmful || overMs >= rules.haltAllAfterMs);
        const allowed = isHalted ? 0 : allocateShare(filler, lefts);
        const mayChange = allowed < filler.percent
            ? isHalted || isDanger
            : nowMs >= state.heldUntilMs && isRiseWorthwhile(filler, allowed, nowMs, rules);
        percents.set(filler.key, mayChange ? allowed : filler.percent);
    }
    return {
        state: { overSinceMs, heldUntilMs: mustHalt ? nowMs + rules.settleMs : state.heldUntilMs },
        percents,
        mustStop: overMs >= rules.stopAfterMs,
    };
}

/** Whether a serving task is expected to come too close to its target at the present paces. */
function isInDanger(server: ServerView, index: number, fillers: readonly FillerView<unknown>[]): boolean {
    if (server.aloneHeadroom === undefined) {
        return false;
    }
    const taken = fillers.reduce((sum, { harms, percent }) => sum + harms[index] * percent / FULL_PERCENT, 0);
    return server.aloneHeadroom - taken < DANGER_HEADROOM;
}

/** Whether working faster is worth a call: the less is gained, the longer it has to wait. */
function isRiseWorthwhile(filler: FillerView<unknown>, allowed: number, nowMs: number, rules: PaceRules): boolean {
    const gain = allowed - filler.percent;
    return gain >= rules.leastRisePercent && (nowMs - filler.pacedAtMs) * gain >= rules.riseWaitMs * FULL_PERCENT;
}

/** Orders filling tasks by the most that they take from any serving task. */
function compareHarm(left: FillerView<unknown>, right: FillerView<unknown>): number {
    return Math.max(0, ...left.harms) - Math.max(0, ...right.harms);
}

/** The headroom of a serving task that filling tasks may take. */
function computeLeft(server: ServerView): number {
    return server.aloneHeadroom === undefined ? Infinity : Math.max(0, server.aloneHeadroom - AIM_HEADROOM);
}

/** Allows a filling task as much as is left, and takes that away: some at full speed are worth more than all at none. */
function allocateShare(filler: FillerView<unknown>, lefts: number[]): number {
    let share = 1;
    filler.harms.forEach((harm, index) => {
        if (harm >= HARMLESS) {
            share = Math.min(share, lefts[index] / harm);
        }
    });
    const percent = Math.floor(share * FULL_PERCENT / STEP_PERCENT) * STEP_PERCENT;
    filler.harms.forEach((harm, index) => lefts[index] = Math.max(0, lefts[index] - harm * percent / FULL_PERCENT));
    return percent;
}
