import type { Clock } from "@sardinestage/describe-ports";

const BATCH_SIZE = 16;
/** Pause between two batches, in milliseconds. */
const PAUSE_MS = 8;

/** Runs a function on many values in small batches with pauses, so that urgent work doesn't wait for all of them. */
export function applyInBatches<T>(clock: Clock, values: readonly T[], run: (value: T) => void): void {
    values.slice(0, BATCH_SIZE).forEach(run);
    const rest = values.slice(BATCH_SIZE);
    if (rest.length > 0) {
        clock.schedule(PAUSE_MS, () => applyInBatches(clock, rest, run));
    }
}
