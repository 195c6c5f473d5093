import { listStandingFailures } from "./listStandingFailures.js";
import type { TrackedWorker } from "./trackedWorker.js";

/** Number of jobs to which the failed runs have to belong. */
const MIN_JOBS = 2;

/**
 * Whether the failed runs that count against a worker say that it is at fault.
 *
 * @param minFailures How many failures that takes.
 */
export function isFaultLikely(worker: TrackedWorker, minFailures: number): boolean {
    const standing = listStandingFailures(worker);
    const jobs = new Set(standing.map(({ task }) => task.step.occurrence.job));
    return standing.length >= minFailures && jobs.size >= MIN_JOBS;
}
