import type { Task } from "@sardinestage/track-jobs";
import { describeLease } from "../workers/describeLease.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";

/**
 * Describes how long ago the outcome of a run's last order became known, and the report was asked for; if no report
 * shows the run's end, what is known of the worker's lease.
 */
export function describeRunTimes(task: Task, worker: TrackedWorker, nowMs: number, askedAtMs: number | undefined) {
    return {
        settledMsAgo: Number.isFinite(task.orderSettledAtMs) ? Math.round(nowMs - task.orderSettledAtMs) : undefined,
        ...(askedAtMs === undefined
            ? describeLease(worker, nowMs)
            : { askedMsAgo: Math.round(nowMs - askedAtMs) }),
    };
}
