import { z } from "zod";
import { commonSections } from "./commonSections.js";
import { settingFields } from "./settingFields.js";

const { createBytes, createCount, createKey, createMilliseconds, createName, createPort, createShare } = settingFields;

/** Settings of `stage-entry`. */
export const entrySettingsSchema = z.strictObject({
    ...commonSections,
    entry: z.strictObject({
        peerPort: createPort("Port on which peers reach this entry."),
        callerPort: createPort("Port on which callers connect."),
        drainNoticeMs: createMilliseconds(
            3_000,
            0,
            600_000,
            "When draining, requests are still taken so long, until the balancer has noticed.",
        ),
        maxBodyBytes: createBytes(8_388_608, 1, 1_073_741_824, "Largest body of a request."),
        maxRequests: createCount(2_000, 1, 100_000, "Requests in progress at once, queued ones included."),
        defaultDeadlineMs: createMilliseconds(5_000, 1, 600_000, "Deadline of a request that names none."),
        maxDeadlineMs: createMilliseconds(30_000, 1, 600_000, "Longest deadline that a request can have."),
        clockSkewMs: createMilliseconds(2_000, 0, 60_000, "Largest difference between the clocks of callers and VMs."),
        duplicateKeepMs: createMilliseconds(
            600_000,
            1_000,
            86_400_000,
            "How long ids of non-idempotent requests are remembered.",
        ),
    }),
    admission: z.strictObject({
        maxQueued: createCount(256, 0, 100_000, "Requests queued for one service."),
        targetQueueMs: createMilliseconds(100, 1, 60_000, "Queueing time above which the newest goes first."),
        retryAfterMs: createMilliseconds(1_000, 1, 600_000, "Base of the retry-after that refusals carry."),
    }).prefault({}),
    routing: z.strictObject({
        grantIntervalMs: createMilliseconds(500, 20, 60_000, "Time between two pulls of grants from a scheduler."),
        firstByteMs: createMilliseconds(2_000, 10, 600_000, "Longest wait for the first byte of a target's answer."),
        idleMs: createMilliseconds(2_000, 10, 600_000, "Longest gap between bytes of a target's answer."),
        lingerMs: createMilliseconds(
            1_000,
            0,
            60_000,
            "A try that was given up counts as open so long, until the target has noticed.",
        ),
        probationMs: createMilliseconds(5_000, 10, 600_000, "First length of a failing target's probation."),
        maxProbationShare: createShare(0.5, "Largest share of a service's targets on probation at once."),
    }).prefault({}),
    retries: z.strictObject({
        budgetShare: createShare(0.1, "Retries and hedges allowed, as a share of first tries."),
        maxTries: createCount(3, 1, 10, "Tries of one request, the first included."),
        hedgePercentile: z.number().min(50).max(100).default(95)
            .meta({ unit: "percentile", description: "A hedge is sent after this percentile of answer times." }),
    }).prefault({}),
    crossDomain: z.strictObject({
        bytesPerSecond: createBytes(250_000, 0, 125_000_000, "Budget for requests forwarded to other failure domains."),
    }).prefault({}),
    callers: z.array(z.strictObject({
        key: createKey("Sent by the caller as a bearer token."),
        team: createName("Team that the key stands for."),
    })).default([]).meta({ unit: "list", description: "Who may send requests." }),
});
