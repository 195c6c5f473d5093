import { z } from "zod";
import { commonSections } from "./commonSections.js";
import { settingFields } from "./settingFields.js";

const { createCount, createMilliseconds, createPort, createShare } = settingFields;

/** Settings of `stage-scheduler`. */
export const schedulerSettingsSchema = z.strictObject({
    ...commonSections,
    scheduler: z.strictObject({
        peerPort: createPort("Port on which peers reach this scheduler."),
    }),
    leases: z.strictObject({
        renewMs: createMilliseconds(1_000, 20, 60_000, "Time between two renewals of a worker lease."),
        workerTtlMs: createMilliseconds(4_000, 100, 600_000, "Time to live of a worker lease."),
        taskTtlMs: createMilliseconds(15_000, 500, 3_600_000, "Time to live of a task's lease at its worker."),
        authorityMs: createMilliseconds(
            20_000,
            500,
            3_600_000,
            "How long task leases are renewed without fresh word from the log or from every listed peer.",
        ),
        clockMarginMs: createMilliseconds(500, 0, 60_000, "Added to every lease that is waited out."),
        condemnAfterMs: createMilliseconds(5_000, 100, 3_600_000, "A worker is condemned after so long a silence."),
        startupQuietMs: createMilliseconds(
            10_000,
            0,
            3_600_000,
            "A new process condemns nobody so long; longer than the VM list lags.",
        ),
        orderTimeoutMs: createMilliseconds(1_000, 20, 60_000, "Bound on one order to a worker."),
    }).prefault({}),
    grants: z.strictObject({
        ttlMs: createMilliseconds(3_000, 100, 600_000, "Time to live of a grant."),
        maxDeadlineMs: createMilliseconds(30_000, 1, 600_000, "The entries' longest request deadline."),
    }).prefault({}),
    placement: z.strictObject({
        intervalMs: createMilliseconds(100, 10, 60_000, "Time between two placement rounds."),
        maxPerRound: createCount(64, 1, 10_000, "Tasks bound in one round."),
        bindAhead: createCount(2, 0, 1_000, "Batch tasks bound to a full worker ahead of need."),
        stealAfterMs: createMilliseconds(300, 10, 600_000, "A task that waited so long is taken by any scheduler."),
        aheadAfterMs: createMilliseconds(
            1_000,
            10,
            600_000,
            "A task that waited so long is bound ahead of need to a full worker, or moved from one to a free one.",
        ),
        sizeQuantile: createShare(0.9, "Quantile of the measured use that a task is expected to take."),
        exploreShare: createShare(0.05, "Share of placements that try pairs of which little is known."),
        maxFailures: createCount(3, 1, 100, "Failed attempts after which a task has failed."),
    }).prefault({}),
    reaction: z.strictObject({
        slowdownLimit: z.number().min(1).max(100).default(1.3)
            .meta({ unit: "ratio", description: "Service latency over its latency alone that calls for a reaction." }),
        settleMs: createMilliseconds(3_000, 10, 600_000, "Time between two steps of reaction on one worker."),
        evictionsPerMinute: createCount(30, 0, 10_000, "Evictions allowed a minute."),
    }).prefault({}),
    retention: z.strictObject({
        carryAfterMs: createMilliseconds(
            3_600_000,
            1_000,
            604_800_000,
            "Open tasks are appended anew when their last record is so old.",
        ),
        keepEndedMs: createMilliseconds(3_600_000, 1_000, 604_800_000, "How long ended tasks are remembered."),
    }).prefault({}),
}).check(context => {
    const { leases } = context.value;
    const addFault = (key: string, message: string) =>
        context.issues.push({ code: "custom", path: ["leases", key], message, input: context.value });
    if (leases.workerTtlMs < leases.renewMs * 2) {
        addFault("workerTtlMs", "must be at least twice renewMs, so that a worker lease survives one lost renewal");
    }
    if (leases.taskTtlMs < leases.workerTtlMs * 2) {
        addFault(
            "taskTtlMs",
            "must be at least twice workerTtlMs, so that running tasks survive a takeover of their worker",
        );
    }
    if (leases.authorityMs < leases.workerTtlMs) {
        addFault("authorityMs", "must be at least workerTtlMs");
    }
});
