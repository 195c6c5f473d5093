/** The fewest steps that a round may handle. */
const MIN_STEPS = 8;
/** The next round may handle more steps if the last one took less than this share of the time limit. */
const SPARE_SHARE = 0.5;

/** The last round. */
interface LastRound {
    /** How many steps the round was allowed to handle. */
    readonly maxSteps: number;
    /** How many steps the round handled. */
    readonly steps: number;
    /** How long the round took, in milliseconds. */
    readonly tookMs: number;
}

/**
 * Chooses how many steps the next round may handle within the time limit. The number grows only if it limited the last
 * round, so that the first rounds of a sudden flood stay small.
 *
 * @param last The last round.
 * @param maxRoundMs The time limit of a round, in milliseconds.
 */
export function chooseRoundSize(last: LastRound, maxRoundMs: number): number {
    if (last.tookMs > maxRoundMs) {
        return Math.max(MIN_STEPS, Math.floor(last.steps * maxRoundMs / last.tookMs));
    }
    const isLimited = last.steps >= last.maxSteps;
    return isLimited && last.tookMs < maxRoundMs * SPARE_SHARE ? last.maxSteps * 2 : last.maxSteps;
}
