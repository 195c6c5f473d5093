import type { TrackedWorker } from "./workers/trackedWorker.js";

/** Describes how slow the slowest and the fastest worker are, in percent of the expected durations, for a log line. */
export function describeSlowness(workers: Iterable<TrackedWorker>, nowMs: number): Record<string, number> {
    const ratios = [...workers].map(({ slowness }) => slowness.estimateSlowness(nowMs));
    return ratios.length === 0
        ? {}
        : {
            slowestPercent: Math.round(Math.max(...ratios) * 100),
            fastestPercent: Math.round(Math.min(...ratios) * 100),
        };
}
