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
const STEP_PERCENT = 20;

/**
 * Decides how fast the filling tasks of one worker may work. What a serving task would take alone right now is its
 * measured tail less what its neighbours are known to add; what is left under its target is shared by those that add
 * to it. Where that doesn't help, everything stands still for a while.
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
    for (const filler of fillers) {
        const allowed = mustHalt ? 0 : computeAllowed(servers, fillers, filler);
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

function computeAllowed(servers: readonly ServerView[], fillers: readonly FillerView[], filler: FillerView): number {
    let share = 1;
    servers.forEach((server, index) => {
        const isHarmless = (harmMs: number) => harmMs < HARMLESS_SHARE * server.targetMs;
        if (server.tailMs <= 0 || isHarmless(filler.harmsMs[index])) {
            return;
        }
        let addedMs = 0;
        let atFullMs = 0;
        for (const other of fillers) {
            const harmMs = other.harmsMs[index];
            addedMs += harmMs * other.percent / FULL_PERCENT;
            atFullMs += isHarmless(harmMs) ? 0 : harmMs;
        }
        const ownMs = Math.max(server.tailMs - addedMs, server.aloneMs);
        const leftMs = Math.max(0, AIM_SHARE * server.targetMs - ownMs);
        share = Math.min(share, leftMs / atFullMs);
    });
    return Math.floor(share * FULL_PERCENT / STEP_PERCENT) * STEP_PERCENT;
}
