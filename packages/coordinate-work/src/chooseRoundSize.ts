/** A round looks at so many steps at least. */
const MIN_STEPS = 8;
/** A round that took less than this share of its limit leaves time for more. */
const SPARE_SHARE = 0.5;

/** The round before. */
interface LastRound {
    /** How many steps it was allowed to look at, and how many it did. */
    readonly maxSteps: number;
    readonly steps: number;
    readonly tookMs: number;
}

/**
 * Chooses how many steps the next round may look at, so that it takes no longer than a round may. Grows only while that is what
 * holds rounds back, so that a sudden flood is met with care.
 *
 * @param last The round before.
 * @param longestMs How long a round may take, in milliseconds.
 */
export function chooseRoundSize(last: LastRound, longestMs: number): number {
    if (last.tookMs > longestMs) {
        return Math.max(MIN_STEPS, Math.floor(last.steps * longestMs / last.tookMs));
    }
    const isHeldBack = last.steps >= last.maxSteps;
    return isHeldBack && last.tookMs < longestMs * SPARE_SHARE ? last.maxSteps * 2 : last.maxSteps;
}
