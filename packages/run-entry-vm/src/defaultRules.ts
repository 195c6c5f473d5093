import type { EntryVmRules } from "./entryVmRules.js";

/** Timing for leases of a few seconds: a failed coordinator is replaced well before the workers' leases expire. */
export const defaultRules: EntryVmRules = {
    silenceMs: 1000,
    storeSilenceMs: 700,
    renewalSilenceMs: 2500,
    recentTakeoverMs: 10_000,
    recentTakeoverFactor: 2,
    freshRenewalMs: 1500,
    unreachableMs: 10_000,
    minFollowerShare: 0.25,
    maxRecordedAgeMs: 4000,
    lateRenewalMs: 750,
    wallClockToleranceMs: 2000,
    minStoreAvailableMs: 700,
    followIntervalMs: 250,
    peerTimeoutMs: 300,
    renewMs: 500,
    storeDelayFactor: 6,
    maxStoreDelayMs: 350,
    maxWeaknessDelayMs: 600,
    handoverWeakness: 0.4,
    minHandoverTermMs: 3000,
    jitterMs: 60,
};
