import type { FillerView } from "./fillerView.js";
import type { PacePlan } from "./pacePlan.js";
import type { PaceRules } from "./paceRules.js";
import type { PaceState } from "./paceState.js";
import type { ServerView } from "./serverView.js";

/** Share of the target that tails are to stay under: figures are rough, and load swings. */
const AIM_SHARE = 0.8;
/** A filling task that raises a tail by less than this share of its target is left alone. */
const HARMLESS_SHARE = 0.06;
const FULL_PERCENT = 100;
/** Paces are multiples of this: smaller changes aren't worth an order. */
const STEP_PERCENT = 10;

/**
 * Decides how fast the filling tasks of one worker may work. What a serving task would take alone right now is its
 * measured tail less what its neighbours are known to add; what is left under its target goes to those that add to it,
 * in their order. Where that doesn't help, what does harm stands still for a while, then everything.
 *
 * @param servers The serving tasks on the worker.
 * @param fillers The filling tasks on it.
 * @param state What was decided last.
 * @param nowMs Steady time.
 */
export function planPace(
    servers: readonly ServerView[],
    fillers: readonly FillerView[],
    state: PaceState,
    nowMs: number,
    rules: PaceRules,
): PacePlan {
    const isOver = servers.some(server => server.tailMs > server.targetMs);
    const overSinceMs = isOver ? state.overSinceMs ?? nowMs : undefined;
    const overMs = overSinceMs === undefined ? 0 : nowMs - overSinceMs;
    const mustHalt = overMs >= rules.haltAfterMs;
    const percents = new Map<string, number>();
    const lefts = servers.map(server => computeLeft(server, fillers, servers.indexOf(server)));
    for (const filler of fillers) {
        const isHarmful = filler.harmsMs.some((harmMs, index) => harmMs >= HARMLESS_SHARE * servers[index].targetMs);
        const allowed = mustHalt && (isHarmful || overMs >= rules.haltAllAfterMs) ? 0 : allow(filler, servers, lefts);
        const mayRise = allowed < filler.percent || nowMs >= state.heldUntilMs;
        percents.set(filler.key, mayRise ? allowed : filler.percent);
    }
    const isSlower = fillers.some(filler => (percents.get(filler.key) ?? 0) < filler.percent);
    return {
        state: { overSinceMs, heldUntilMs: isSlower ? nowMs + rules.settleMs : state.heldUntilMs },
        percents,
        mustStop: overMs >= rules.stopAfterMs,
    };
}

/** What filling tasks may add to a serving task's tail, in milliseconds. */
function computeLeft(server: ServerView, fillers: readonly FillerView[], index: number): number {
    const addedMs = fillers.reduce((sum, filler) => sum + filler.harmsMs[index] * filler.percent / FULL_PERCENT, 0);
    const ownMs = Math.max(server.tailMs - addedMs, server.aloneMs);
    return Math.max(0, AIM_SHARE * server.targetMs - ownMs);
}

/** Allows a filling task as much as is left, and takes that away: some at full speed are worth more than all at none. */
function allow(filler: FillerView, servers: readonly ServerView[], lefts: number[]): number {
    let share = 1;
    filler.harmsMs.forEach((harmMs, index) => {
        if (harmMs >= HARMLESS_SHARE * servers[index].targetMs) {
            share = Math.min(share, lefts[index] / harmMs);
        }
    });
    const percent = Math.floor(share * FULL_PERCENT / STEP_PERCENT) * STEP_PERCENT;
    filler.harmsMs.forEach((harmMs, index) => lefts[index] = Math.max(0, lefts[index] - harmMs * percent / FULL_PERCENT));
    return percent;
}
