import type { RunTracker } from "../runs/runTracker.js";
import type { Fleet } from "./fleet.js";
import { listExpiredTasks } from "./listExpiredTasks.js";

/**
 * Handles the loss of the runs whose leases have expired. Ends that workers told in answers which weren't applied as
 * reports come first, before a task counts as lost or is started again.
 *
 * @param canStart Whether tasks may be started now. Until then only the ends of silent workers are applied: the leases of
 *   the others are renewed first.
 */
export function expireLeases(fleet: Fleet, runs: RunTracker, nowMs: number, canStart: boolean): void {
    for (const worker of fleet.workers.values()) {
        if (worker.unappliedEnds.size > 0 && (canStart || worker.missedRenewals > 0)) {
            runs.applyUnappliedEnds(worker);
        }
    }
    for (const worker of fleet.workers.values()) {
        listExpiredTasks(worker, nowMs).forEach(task => runs.handleLostRun(task, worker, "lease-lapsed"));
    }
    fleet.removeUnlisted(nowMs);
}
