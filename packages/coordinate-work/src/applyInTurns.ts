import type { Clock } from "@sardinestage/describe-ports";

const VALUES_A_TURN = 16;
/** Pause between two batches, in milliseconds. */
const PAUSE_MS = 8;

/** Runs a function on many values in small batches with pauses, so that urgent work doesn't wait for all of them. */
export function applyInTurns<T>(clock: Clock, values: readonly T[], run: (value: T) => void): void {
    values.slice(0, VALUES_A_TURN).forEach(run);
    const rest = values.slice(VALUES_A_TURN);
    if (rest.length > 0) {
        clock.schedule(PAUSE_MS, () => applyInTurns(clock, rest, run));
    }
}
