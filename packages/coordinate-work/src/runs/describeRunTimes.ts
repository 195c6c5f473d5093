import type { Task } from "@sardinestage/track-jobs";

/** Describes how long ago the outcome of a run's last order became known, and the report was asked for. */
export function describeRunTimes(task: Task, nowMs: number, askedAtMs: number | undefined) {
    return {
        settledMsAgo: Number.isFinite(task.orderSettledAtMs) ? Math.round(nowMs - task.orderSettledAtMs) : undefined,
        askedMsAgo: askedAtMs === undefined ? undefined : Math.round(nowMs - askedAtMs),
    };
}
