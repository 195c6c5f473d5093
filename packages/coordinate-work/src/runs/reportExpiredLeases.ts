import type { EndedRun } from "@sardinestage/describe-ports";
import { formatTaskKey, RunEnd } from "@sardinestage/describe-work";
import type { CoordinatorParts } from "../coordinatorParts.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";

/** Logs runs whose lease expired in one line per worker, so that they aren't lost among many ordinary ends. */
export function reportExpiredLeases(parts: CoordinatorParts, worker: TrackedWorker, ended: readonly EndedRun[]): void {
    const expired = ended.filter(row => row.number > worker.appliedEndNumber && row.end === RunEnd.Lapsed);
    if (expired.length === 0) {
        return;
    }
    parts.metrics.count("leases_lapsed_total", "run", expired.length);
    parts.logger.warn("leases-lapsed", {
        worker: worker.entry.id,
        runs: expired.length,
        first: formatTaskKey(expired[0].task),
        heardMsAgo: worker.hasReported ? Math.round(parts.clock.getNow() - worker.answeredAtMs) : undefined,
    });
}
