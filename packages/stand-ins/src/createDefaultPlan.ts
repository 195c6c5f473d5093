import type { InstallationPlan } from "./installationPlan.js";

/** Creates the plan of a small installation with short intervals and timeouts, so that a failure test takes seconds. */
export function createDefaultPlan(overrides: Partial<InstallationPlan> = {}): InstallationPlan {
    return {
        domains: [{ domain: "gent-haven", region: "vlaanderen", entryVms: 2, workers: 4, workersPerRack: 2 }],
        platformRegion: "vlaanderen",
        domainDelayMs: 1,
        regionDelayMs: 20,
        workerCapacity: { cpuMillis: 16_000, memoryMb: 60_000, accelerators: 1, slots: 8 },
        workerConnections: 64,
        usageLagMs: 1_000,
        listLagMs: 1_000,
        appendsPerSecond: 300,
        retentionMs: 3_600_000,
        interference: () => 0,
        settings: {
            common: {
                platform: {
                    listIntervalMs: 300,
                    readWaitMs: 500,
                    appendFlushMs: 30,
                    resendMs: 1_000,
                    callTimeoutMs: 1_000,
                },
                peers: { statusIntervalMs: 300, timeoutMs: 500 },
            },
            entry: {
                entry: { drainNoticeMs: 500, clockSkewMs: 300 },
                routing: { grantIntervalMs: 200 },
            },
            scheduler: {
                leases: {
                    renewMs: 400,
                    workerTtlMs: 2_000,
                    taskTtlMs: 6_000,
                    authorityMs: 5_000,
                    clockMarginMs: 300,
                    condemnAfterMs: 1_500,
                    startupQuietMs: 3_000,
                    orderTimeoutMs: 1_000,
                },
                grants: { ttlMs: 2_000, maxDeadlineMs: 10_000 },
            },
        },
        seed: 20261204,
        ...overrides,
    };
}
