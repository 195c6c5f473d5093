import type { TrackedWorker } from "./trackedWorker.js";

/** Older failures don't count against a worker any more, in milliseconds. */
const FAILURE_KEPT_MS = 30_000;

/** Drops the failed runs of a worker that are so old that they tell nothing any more, and with them their jobs. */
export function dropOldFailures(worker: TrackedWorker, nowMs: number): void {
    if (worker.failures.length > 0 && nowMs - worker.failures[0].atMs > FAILURE_KEPT_MS) {
        worker.failures = worker.failures.filter(({ atMs }) => nowMs - atMs <= FAILURE_KEPT_MS);
    }
}
