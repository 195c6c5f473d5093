import type { TrackedWorker } from "./trackedWorker.js";

/** Describes how many workers have answered in this term, and how long the longest of their leases may still last. */
export function describeLeases(workers: Iterable<TrackedWorker>, nowMs: number) {
    const heard = [...workers].filter(worker => worker.answeredAtMs > 0);
    const leftMs = heard.map(worker => worker.getLeaseExpiry() - nowMs);
    return {
        workersHeard: heard.length,
        longestLeaseLeftMs: heard.length > 0 ? Math.round(Math.max(...leftMs)) : undefined,
    };
}
