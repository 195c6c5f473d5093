import type { Clock } from "@sardinestage/describe-ports";

/** Values that are dealt with in one turn of the loop, and the pause before the next, in milliseconds. */
const VALUES_A_TURN = 16;
const PAUSE_MS = 8;

/** Does the same for many values, a few in each turn of the loop, so that what is urgent doesn't wait for all of them. */
export function applyInTurns<T>(clock: Clock, values: readonly T[], run: (value: T) => void): void {
    values.slice(0, VALUES_A_TURN).forEach(run);
    const rest = values.slice(VALUES_A_TURN);
    if (rest.length > 0) {
        clock.schedule(PAUSE_MS, () => applyInTurns(clock, rest, run));
    }
}
